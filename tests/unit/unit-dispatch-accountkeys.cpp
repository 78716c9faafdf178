// Tests which account a request's key belongs to.
#include "endivedoor/dispatch/AccountDirectory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace endivedoor;
using base::Errc;
using dispatch::AccountDirectory;
using platform::HttpHeaders;

namespace {

model::ClientAccount account(const std::string &name,
                             std::vector<std::string> keys) {
  model::ClientAccount a;
  a.Name = name;
  a.ApiKeys = std::move(keys);
  return a;
}

HttpHeaders bearer(const std::string &key) {
  return {{"Host", "h"}, {"Authorization", "Bearer " + key}};
}

TEST(AccountDirectory, KnownKeys_GiveTheirAccount) {
  AccountDirectory accounts(
      {account("north", {"k-1", "k-2"}), account("south", {"K-1"})});
  EXPECT_FALSE(accounts.isEmpty());
  EXPECT_EQ(accounts.findAccount(bearer("k-1")).value(), "north");
  EXPECT_EQ(accounts.findAccount(bearer("k-2")).value(), "north");
  EXPECT_EQ(accounts.findAccount(bearer("K-1")).value(), "south");
  // The scheme and the header's name are case-insensitive (RFC 9110).
  HttpHeaders lower = {{"authorization", "bearer   k-1"}};
  EXPECT_EQ(accounts.findAccount(lower).value(), "north");
}

// A prefix or an extension of a key must not pass as the key.
TEST(AccountDirectory, SimilarKeys_AreUnknown) {
  AccountDirectory accounts({account("north", {"key-12345678"})});
  for (const char *it : {"key-1234567", "key-123456789", "Key-12345678",
                         "key-12345679", "x", "north"}) {
    auto found = accounts.findAccount(bearer(it));
    ASSERT_FALSE(found.has_value()) << it;
    EXPECT_EQ(found.error().Code, Errc::KeyUnknown) << it;
  }
}

// An account without keys must not admit a caller that sends an empty one.
TEST(AccountDirectory, AccountWithoutKeys_AdmitsNobody) {
  AccountDirectory accounts({account("north", {})});
  EXPECT_FALSE(accounts.isEmpty());
  EXPECT_EQ(accounts.findAccount(bearer("")).error().Code, Errc::KeyMalformed);
  EXPECT_EQ(accounts.findAccount(bearer("x")).error().Code, Errc::KeyUnknown);
}

TEST(BearerKey, AbsentHeader_IsMissing) {
  auto found = dispatch::findBearerKey({{"Host", "h"}});
  ASSERT_FALSE(found.has_value());
  EXPECT_EQ(found.error().Code, Errc::KeyMissing);
}

// An error is logged and sent to the caller; it must not repeat the header.
TEST(BearerKey, MalformedHeader_IsRejectedWithoutShowingIt) {
  for (const std::string &it :
       {std::string(), std::string("secret"), std::string("Bearer"),
        std::string("Bearer "), std::string("Bearersecret"),
        std::string("Bearer\tsecret"), std::string("Basic secret"),
        std::string("Bearer secret secret"), std::string("Bearer secret "),
        std::string("Bearer secret\x01"), std::string("Bearer secret\xc3\xa9"),
        std::string("Bearer secret\0", 14)}) {
    HttpHeaders headers = {{"Authorization", it}};
    auto found = dispatch::findBearerKey(headers);
    ASSERT_FALSE(found.has_value()) << it;
    EXPECT_EQ(found.error().Code, Errc::KeyMalformed) << it;
    EXPECT_EQ(found.error().message().find("secret"), std::string::npos);
  }
  HttpHeaders twice = bearer("k");
  twice.emplace_back("authorization", "Bearer k");
  EXPECT_EQ(dispatch::findBearerKey(twice).error().Code, Errc::KeyMalformed);
}

RC_GTEST_PROP(AccountDirectory, AnyKeys_AreFoundAndNoOthers, ()) {
  auto visible = rc::gen::inRange('!', '\x7f');
  auto key = rc::gen::nonEmpty(rc::gen::container<std::string>(visible));
  auto keys = *rc::gen::container<std::set<std::string>>(key);
  std::vector<model::ClientAccount> list;
  for (const std::string &it : keys)
    list.push_back(account("of " + it, {it}));
  AccountDirectory accounts(list);
  for (const std::string &it : keys)
    RC_ASSERT(accounts.findAccount(bearer(it)).value() == "of " + it);
  std::string other = *key;
  RC_ASSERT(accounts.findAccount(bearer(other)).has_value() ==
            keys.contains(other));
}

} // namespace
