// Slots, queue and answers of an upstream.
#include "backend_server.hpp"

#include <chrono>
#include <functional>
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
      listener{tcp_socket::listen_at("127.0.0.1", 0)},
      random{static_cast<unsigned>(std::hash<std::string>{}(this->options.id))} {
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
  std::string extra;
  while (const auto request = reader.next()) {
    if (!this->answer(connection, *request, extra)) {
      return;
    }
  }
}

bool backend_server::happens(double part) {
  const std::lock_guard lock{this->mutex};
  return std::bernoulli_distribution{part}(this->random);
}

bool backend_server::refuse(const tcp_socket& connection, const std::string& id, const std::string& load,
                            std::string& extra) {
  std::string text = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";
  if (this->options.names_requests_in_refusals) {
    text += "Request-Id: " + id + "\r\n" + load;
  }
  text += "Content-Length: 0\r\n\r\n";
  this->log.line("refused " + id + " at " + this->options.id);
  if (this->happens(this->options.repeated_part)) {
    extra = text;
  }
  return connection.send_all(text);
}

bool backend_server::answer(const tcp_socket& connection, const http_message& request, std::string& extra) {
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
    return this->refuse(connection, id, load, extra);
  }
  this->ledger.on_arrived(id, this->options.id);
  ++this->waiting;
  this->slot_free.wait(lock, [this] { return this->running < this->options.slots; });
  --this->waiting;
  ++this->running;
  lock.unlock();
  this->ledger.on_began(id);
  this->log.line("run     " + id + " " + request.method + " " + request.target + " at " + this->options.id);
  if (!extra.empty()) {
    this->log.line("extra   an earlier refusal once more, at " + this->options.id + " while it runs " + id);
    static_cast<void>(connection.send_all(std::exchange(extra, {})));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds{this->options.work_ms});
  this->ledger.on_ended(id);
  lock.lock();
  --this->running;
  const auto load = this->load_field();
  lock.unlock();
  this->slot_free.notify_one();
  const bool closes = this->happens(this->options.closing_part);
  const auto size = this->options.answer_bytes;
  const bool is_sent =
      connection.send_all("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + this->options.id +
                          "." + id + "\r\n" + load + (closes ? "Connection: close\r\n" : "") +
                          "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x'));
  return is_sent && !closes;
}

}  // namespace review
