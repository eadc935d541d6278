// Slots, queue and answers of an upstream.
#include "backend_server.hpp"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace review {

void run_ledger::on_arrived(const std::string& id, const std::string& server) {
  const std::lock_guard lock{this->mutex};
  auto& state = this->states[id];
  state.arrived_ms = now_ms();
  state.server = server;
}

void run_ledger::on_began(const std::string& id) {
  const std::lock_guard lock{this->mutex};
  auto& state = this->states[id];
  state.began_ms = now_ms();
  ++state.runs;
}

void run_ledger::on_ended(const std::string& id) {
  const std::lock_guard lock{this->mutex};
  this->states[id].ended_ms = now_ms();
}

std::map<std::string, run_state> run_ledger::all() {
  const std::lock_guard lock{this->mutex};
  return this->states;
}

backend_server::backend_server(backend_options options_in, run_ledger& ledger_in, record& log_in)
    : options{std::move(options_in)},
      ledger{ledger_in},
      log{log_in},
      listener{tcp_socket::listen_at("127.0.0.1", 0)} {
  std::thread{[this] {
    while (true) {
      std::thread{[this, connection = this->listener.accept_next()] { this->serve(connection); }}.detach();
    }
  }}.detach();
}

void backend_server::register_at(platform_store& store) const {
  store.put("servers", this->options.id,
            {{"service", this->options.service},
             {"address", "127.0.0.1:" + std::to_string(this->listener.port())},
             {"zone", this->options.zone},
             {"version", "v1"},
             {"slots", this->options.slots},
             {"state", "ready"},
             {"coldRemainingMs", 0},
             {"sequence", 1}});
}

std::string backend_server::load_field() {
  return "Server-Load: " + std::to_string(this->running) + "," + std::to_string(this->waiting) + "," +
         std::to_string(this->options.slots) + "\r\n";
}

void backend_server::serve(const tcp_socket& connection) {
  message_reader reader{connection};
  while (const auto request = reader.next()) {
    if (!this->answer(connection, *request)) {
      return;
    }
  }
}

bool backend_server::answer(const tcp_socket& connection, const http_message& request) {
  if (request.target == "/health") {
    return connection.send_all("HTTP/1.1 200 OK\r\nInstance-Id: " + this->options.id +
                               "\r\nContent-Length: 0\r\n\r\n");
  }
  const auto id = request.field("request-id");
  const auto expected = request.field("expect-instance");
  if (!expected.empty() && expected != this->options.id) {
    return connection.send_all("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id +
                               "\r\nInstance-Id: " + this->options.id + "\r\nContent-Length: 0\r\n\r\n");
  }
  std::unique_lock lock{this->mutex};
  if (this->running >= this->options.slots && this->waiting >= this->options.queue) {
    const auto load = this->load_field();
    lock.unlock();
    return connection.send_all("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id +
                               "\r\nNot-Executed: 1\r\n" + load + "Content-Length: 0\r\n\r\n");
  }
  this->ledger.on_arrived(id, this->options.id);
  ++this->waiting;
  this->slot_free.wait(lock, [this] { return this->running < this->options.slots; });
  --this->waiting;
  ++this->running;
  lock.unlock();
  this->ledger.on_began(id);
  this->log.line("run     " + id + " " + request.method + " " + request.target + " at " + this->options.id);
  std::this_thread::sleep_for(std::chrono::milliseconds{this->options.work_ms});
  this->ledger.on_ended(id);
  lock.lock();
  --this->running;
  const auto load = this->load_field();
  lock.unlock();
  this->slot_free.notify_one();
  const auto size = this->options.answer_bytes;
  const auto head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + this->options.id + "." +
                    id + "\r\n" + load + "Content-Length: " + std::to_string(size) + "\r\n\r\n";
  const auto kept = this->options.breaks_off_after ? this->options.breaks_off_after(request) : 0;
  if (kept > 0) {
    this->log.line("broken  " + id + " after " + std::to_string(kept) + " of " + std::to_string(size) +
                   " bytes at " + this->options.id);
    static_cast<void>(connection.send_all(head + std::string(std::min(kept, size), 'x')));
    return false;
  }
  return connection.send_all(head + std::string(size, 'x'));
}

}  // namespace review
