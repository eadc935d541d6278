// Implementation with libcurl's multi interface.
#include "zinnia/store/async_http_client.hpp"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <vector>

#include "zinnia/core/tcp_timeouts.hpp"
#include "zinnia/store/http_upload.hpp"
#include "zinnia/store/response_collector.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Time to connect, in ms. The longest link has a round trip of 110 ms; the limit does not allow for the
/// retransmission of a lost packet.
constexpr long connect_timeout_ms = 300;

struct header_list_deleter {
  void operator()(curl_slist* list) const noexcept { curl_slist_free_all(list); }
};

/// Of the bodies of all calls that are running, in bytes. A node lists a few kinds of objects at a time.
constexpr std::size_t max_total_body_bytes = 2 * max_response_body_bytes;

struct running_call {
  explicit running_call(body_budget& budget) : response{&budget} {}

  async_http_client::call_id id{0};
  CURL* handle{nullptr};
  response_collector response;
  std::string body;
  http_upload upload;
  std::unique_ptr<curl_slist, header_list_deleter> headers;
  async_http_client::callback done;
};

int set_socket_options(void* /*context*/, curl_socket_t descriptor, curlsocktype /*purpose*/) {
  // Errors are ignored: without these options a dead connection is still detected by the call's timeout.
  const auto unacknowledged_ms = static_cast<int>(tcp_user_timeout.ms);
  static_cast<void>(
      setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms));
  static_cast<void>(
      setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes, sizeof keep_alive_probes));
  return CURL_SOCKOPT_OK;
}

}  // namespace
}  // namespace impl

struct async_http_client::state {
  CURLM* multi{curl_multi_init()};
  // Outlives the calls.
  body_budget bodies{impl::max_total_body_bytes};
  std::map<call_id, std::unique_ptr<impl::running_call>> calls;
  call_id next_id{1};

  state() = default;
  state(const state&) = delete;
  state& operator=(const state&) = delete;
  state(state&&) = delete;
  state& operator=(state&&) = delete;
  ~state() {
    for (auto& [id, call] : this->calls) {
      curl_multi_remove_handle(this->multi, call->handle);
      curl_easy_cleanup(call->handle);
    }
    curl_multi_cleanup(this->multi);
  }

  void finish(CURL* handle, CURLcode code) {
    const auto found = std::find_if(this->calls.begin(), this->calls.end(),
                                    [handle](const auto& entry) { return entry.second->handle == handle; });
    if (found == this->calls.end()) {
      return;
    }
    auto call = std::move(found->second);
    this->calls.erase(found);
    const auto response = call->response.take(handle, code);
    curl_multi_remove_handle(this->multi, handle);
    curl_easy_cleanup(handle);
    call->done(response);
  }
};

async_http_client::async_http_client() : impl_state{std::make_unique<state>()} {}

async_http_client::~async_http_client() = default;

async_http_client::call_id async_http_client::start(const http_call& call, callback done) {
  auto running = std::make_unique<impl::running_call>(this->impl_state->bodies);
  running->id = this->impl_state->next_id++;
  running->handle = curl_easy_init();
  running->body = call.body;
  running->done = std::move(done);
  running->headers.reset(curl_slist_append(nullptr, "Expect:"));
  for (const auto& header : call.headers) {
    running->headers.reset(curl_slist_append(running->headers.release(), header.c_str()));
  }
  CURL* const handle = running->handle;
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, running->headers.get());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, static_cast<long>(keep_alive_interval_s));
  curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, static_cast<long>(keep_alive_interval_s));
  curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, impl::set_socket_options);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, impl::connect_timeout_ms);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.ms));
  running->response.attach(handle);
  running->upload = {&running->body, 0};
  if (call.method != "GET") {
    set_upload(handle, call.method, running->upload, false);
  }
  const auto id = running->id;
  this->impl_state->calls.emplace(id, std::move(running));
  curl_multi_add_handle(this->impl_state->multi, handle);
  return id;
}

void async_http_client::cancel(call_id id) {
  const auto found = this->impl_state->calls.find(id);
  if (found == this->impl_state->calls.end()) {
    return;
  }
  curl_multi_remove_handle(this->impl_state->multi, found->second->handle);
  curl_easy_cleanup(found->second->handle);
  this->impl_state->calls.erase(found);
}

bool async_http_client::wait(duration timeout, int extra_descriptor) {
  auto* const multi = this->impl_state->multi;
  int running = 0;
  curl_multi_perform(multi, &running);
  curl_waitfd extra{extra_descriptor, CURL_WAIT_POLLIN, 0};
  const unsigned extra_count = extra_descriptor >= 0 ? 1 : 0;
  int messages_left = 0;
  const CURLMsg* message = curl_multi_info_read(multi, &messages_left);
  if (message == nullptr) {
    int ready = 0;
    curl_multi_poll(multi, &extra, extra_count, static_cast<int>(std::max<std::int64_t>(timeout.ms, 0)),
                    &ready);
    curl_multi_perform(multi, &running);
    message = curl_multi_info_read(multi, &messages_left);
  }
  while (message != nullptr) {
    if (message->msg == CURLMSG_DONE) {
      this->impl_state->finish(message->easy_handle, message->data.result);
    }
    message = curl_multi_info_read(multi, &messages_left);
  }
  return (extra.revents & CURL_WAIT_POLLIN) != 0;
}

void async_http_client::wake() {
  curl_multi_wakeup(this->impl_state->multi);
}

}  // namespace zinnia
