// Parses and applies the admin requests of the fault proxy.

#include "harness/FaultProxy.h"

#include "harness/HarnessErrors.h"

namespace camphorcleat::harness {

namespace {

UsageError invalidParameter(const std::string& aName, const std::string& aExpected)
{
  return UsageError{ "parameter " + aName + ": expected " + aExpected };
}

Result<void> parseMillis(const UrlQuery& aQuery, const char* aName, Millis& aOut)
{
  if (aQuery.text(aName)) {
    const auto value = aQuery.number(aName);
    if (!value) {
      return fail(invalidParameter(aName, "whole milliseconds"));
    }
    aOut = Millis(*value);
  }
  return {};
}

Result<void> parseFlag(const UrlQuery& aQuery, const char* aName, bool& aOut)
{
  if (const auto value = aQuery.text(aName)) {
    if (*value != "0" && *value != "1") {
      return fail(invalidParameter(aName, "0 or 1"));
    }
    aOut = *value == "1";
  }
  return {};
}

template<class E>
Result<void> parseEnum(const UrlQuery& aQuery, const char* aName, E& aOut)
{
  if (const auto value = aQuery.text(aName)) {
    const auto found = enumFromName<E>(*value);
    if (!found) {
      return fail(invalidParameter(aName, "one of the documented names, not '" + *value + "'"));
    }
    aOut = *found;
  }
  return {};
}

Result<void> parseByteLimit(const UrlQuery& aQuery, LinkSettings& aOut)
{
  if (const auto text = aQuery.text("close_after_bytes")) {
    aOut.closeAfterBytes = aQuery.number("close_after_bytes");
    if (!aOut.closeAfterBytes && *text != "none") {
      return fail(invalidParameter("close_after_bytes", "a number of bytes or none"));
    }
  }
  return {};
}

Result<LinkSettings> parseSettings(const UrlQuery& aQuery, LinkSettings aOut)
{
  BOOST_LEAF_CHECK(parseMillis(aQuery, "delay_ms", aOut.delay));
  BOOST_LEAF_CHECK(parseMillis(aQuery, "jitter_ms", aOut.jitter));
  BOOST_LEAF_CHECK(parseEnum(aQuery, "cut", aOut.cut));
  BOOST_LEAF_CHECK(parseEnum(aQuery, "direction", aOut.closeDirection));
  BOOST_LEAF_CHECK(parseFlag(aQuery, "refuse", aOut.refusesConnections));
  BOOST_LEAF_CHECK(parseByteLimit(aQuery, aOut));
  return aOut;
}

} // namespace

FaultProxy::FaultProxy(boost::asio::io_context& aLoop, std::uint64_t aSeed)
  : mLoop(aLoop)
  , mRandom(aSeed)
{
}

Endpoint FaultProxy::addLink(const LinkRoute& aRoute)
{
  mLinks.push_back(std::make_unique<ProxyLink>(mLoop, aRoute, mRandom));
  return mLinks.back()->endpoint();
}

std::vector<ProxyLink*> FaultProxy::findLinks(const std::string& aName) const
{
  const bool isPrefix = !aName.empty() && aName.back() == '*';
  const std::string prefix = isPrefix ? aName.substr(0, aName.size() - 1) : aName;
  std::vector<ProxyLink*> out;
  for (const auto& it : mLinks) {
    if (isPrefix ? it->name().compare(0, prefix.size(), prefix) == 0 : it->name() == aName) {
      out.push_back(it.get());
    }
  }
  return out;
}

AdminResponse FaultProxy::handleAdminRequest(const AdminRequest& aRequest)
{
  if (aRequest.method == "GET" && aRequest.query.path() == "/stats") {
    return { 200, statsJson() };
  }
  if (aRequest.method == "POST" && aRequest.query.path() == "/set") {
    return applySettings(aRequest.query);
  }
  return adminErrorResponse(404, "expected GET /stats or POST /set");
}

AdminResponse FaultProxy::applySettings(const UrlQuery& aQuery)
{
  const std::vector<ProxyLink*> links = findLinks(aQuery.text("link").value_or(""));
  if (links.empty()) {
    return adminErrorResponse(404,
                              "no link has the name '" + aQuery.text("link").value_or("") + "'");
  }
  return orElse(
    [&]() -> Result<AdminResponse> {
      bool silencesOpen = false;
      bool resetsOpen = false;
      BOOST_LEAF_CHECK(parseFlag(aQuery, "silence_open", silencesOpen));
      BOOST_LEAF_CHECK(parseFlag(aQuery, "reset", resetsOpen));
      BOOST_LEAF_CHECK(parseSettings(aQuery, LinkSettings()));
      for (ProxyLink* it : links) {
        BOOST_LEAF_AUTO(settings, parseSettings(aQuery, it->settings()));
        it->applySettings(settings);
        if (silencesOpen) {
          it->silenceConnections();
        }
        if (resetsOpen) {
          it->resetConnections();
        }
      }
      return AdminResponse{ 200, R"({"links":)" + std::to_string(links.size()) + "}" };
    },
    [](const ErrorInfo& aInfo) { return adminErrorResponse(400, aInfo.message); });
}

std::string FaultProxy::statsJson() const
{
  QCborMap out;
  for (const auto& it : mLinks) {
    out.insert(QString::fromStdString(it->name()), toCborValue(it->stats()));
  }
  return writeJson(out);
}

} // namespace camphorcleat::harness
