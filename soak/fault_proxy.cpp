// Two pumps a connection.
#include "fault_proxy.hpp"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace zinnia::soak {
namespace impl {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::chrono::milliseconds slow_by{150};
/// How often a silenced pump looks whether the link is open again.
constexpr std::chrono::milliseconds silence_poll{20};
constexpr std::size_t piece_bytes = 16 << 10;

}  // namespace
}  // namespace impl

struct fault_proxy::link {
  link(boost::asio::io_context& context, boost::asio::ip::tcp::socket accepted)
      : sides{std::move(accepted), boost::asio::ip::tcp::socket{context}},
        timers{boost::asio::steady_timer{context}, boost::asio::steady_timer{context}} {}

  // The calling and the called side; a pump reads from one and writes to the other.
  std::array<boost::asio::ip::tcp::socket, 2> sides;
  std::array<boost::asio::steady_timer, 2> timers;
  std::array<std::array<char, impl::piece_bytes>, 2> pieces{};
};

fault_proxy::fault_proxy(boost::asio::io_context& context_in, const std::string& target_ip,
                         std::uint16_t target_port)
    : context{context_in},
      target{impl::asio::ip::make_address_v4(target_ip), target_port},
      listening{context_in, {impl::asio::ip::address_v4::loopback(), 0}} {
  this->accept();
}

void fault_proxy::set(link_state state_in) {
  this->state = state_in;
  if (state_in == link_state::reset) {
    impl::asio::post(this->context, [this] {
      for (const auto& which : this->links) {
        break_off(*which);
      }
      this->links.clear();
    });
  }
}

void fault_proxy::break_off(link& which) {
  for (auto& side : which.sides) {
    impl::error_code ignored;  // The side may have closed already.
    side.set_option(impl::tcp::socket::linger{true, 0}, ignored);
    side.close(ignored);
  }
}

void fault_proxy::accept() {
  this->listening.async_accept([this](const impl::error_code& failed, impl::tcp::socket accepted) {
    if (failed) {
      return;
    }
    auto which = std::make_shared<link>(this->context, std::move(accepted));
    if (this->state == link_state::reset) {
      break_off(*which);
    } else {
      this->links.insert(which);
      which->sides[1].async_connect(this->target, [this, which](const impl::error_code& refused) {
        if (refused) {
          break_off(*which);
          this->links.erase(which);
          return;
        }
        this->pump(which, false);
        this->pump(which, true);
      });
    }
    this->accept();
  });
}

void fault_proxy::pump(const std::shared_ptr<link>& which, bool answers) {
  auto& from = which->sides.at(answers ? 1 : 0);
  from.async_read_some(impl::asio::buffer(which->pieces.at(answers ? 1 : 0)),
                       [this, which, answers](const impl::error_code& failed, std::size_t bytes) {
                         this->pass_on(which, answers, failed ? 0 : bytes, false);
                       });
}

void fault_proxy::pass_on(const std::shared_ptr<link>& which, bool answers, std::size_t bytes, bool delayed) {
  const auto now = this->state.load();
  const bool held = now == link_state::silent || (now == link_state::silent_answers && answers);
  if (held || (now == link_state::slow && !delayed)) {
    auto& timer = which->timers.at(answers ? 1 : 0);
    timer.expires_after(held ? impl::silence_poll : impl::slow_by);
    timer.async_wait([this, which, answers, bytes, held](const impl::error_code& stopped) {
      if (!stopped) {
        this->pass_on(which, answers, bytes, !held);
      }
    });
    return;
  }
  auto& to = which->sides.at(answers ? 0 : 1);
  if (bytes == 0) {
    impl::error_code ignored;  // The other side may have closed already.
    to.shutdown(impl::tcp::socket::shutdown_send, ignored);
    if (answers) {
      this->links.erase(which);
    }
    return;
  }
  impl::asio::async_write(to, impl::asio::buffer(which->pieces.at(answers ? 1 : 0), bytes),
                          [this, which, answers](const impl::error_code& failed, std::size_t /*bytes*/) {
                            if (failed) {
                              break_off(*which);
                              this->links.erase(which);
                              return;
                            }
                            this->pump(which, answers);
                          });
}

}  // namespace zinnia::soak
