// Asks and grants of tokens as FlatBuffers.
#include "zinnia/membership/account_limit_codec.hpp"

#include "account_limit_codec.hpp"

namespace zinnia {
namespace impl {
namespace {

/// A million tokens; what a node needs within 300 ms is far less.
constexpr std::uint32_t max_thousandths = 1'000'000'000;

template <class Wire, class Message>
[[nodiscard]] const char* decode_items(const flatbuffers::Vector<flatbuffers::Offset<Wire>>* items,
                                       std::vector<Message>& decoded) {
  if (items == nullptr) {
    return nullptr;
  }
  if (items->size() > max_account_messages_per_datagram) {
    return "too many asks or grants; allowed: 20";
  }
  for (const auto* const item : *items) {
    if (item->thousandths() > max_thousandths) {
      return "thousandths; allowed: 0 to 1000000000";
    }
    decoded.push_back({item->account(), item->thousandths(), item->nonce()});
  }
  return nullptr;
}

}  // namespace
}  // namespace impl

std::string encode_account_messages(const account_messages& messages) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<membership::fbs::AccountAsk>> asks;
  for (const auto& ask : messages.asks) {
    asks.push_back(membership::fbs::CreateAccountAsk(builder, ask.account, ask.thousandths, ask.nonce));
  }
  std::vector<flatbuffers::Offset<membership::fbs::AccountGrant>> grants;
  for (const auto& grant : messages.grants) {
    grants.push_back(
        membership::fbs::CreateAccountGrant(builder, grant.account, grant.thousandths, grant.nonce));
  }
  const auto asks_at = builder.CreateVector(asks);
  const auto grants_at = builder.CreateVector(grants);
  builder.Finish(membership::fbs::CreateHolderNotices(builder, 0, 0, asks_at, grants_at));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

const char* decode_account_messages(const membership::fbs::HolderNotices& root, account_messages& decoded) {
  if (const auto* const problem = impl::decode_items(root.asks(), decoded.asks)) {
    return problem;
  }
  return impl::decode_items(root.grants(), decoded.grants);
}

}  // namespace zinnia
