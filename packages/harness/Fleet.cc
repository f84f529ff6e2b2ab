// Starts the processes of a test fleet and controls them by signals and HTTP requests.

#include "harness/Fleet.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/Codec.h"
#include "harness/HarnessErrors.h"
#include "harness/HttpCall.h"
#include "harness/Interruption.h"

namespace camphorcleat::harness {

namespace {

constexpr Millis kAdminCallTimeout{ 2000 };
constexpr Millis kReadyTimeout{ 20'000 };
constexpr Millis kCommandTimeout{ 20'000 };
constexpr Millis kStopTimeout{ 30'000 }; // A planned stop waits for running requests, up to 10 s.

struct StatusResponse
{
  std::string role;
  std::optional<Revision> revision; ///< The latest one that the daemon has applied.

  static constexpr auto fields()
  {
    return std::make_tuple(field("role", &StatusResponse::role),
                           field("revision", &StatusResponse::revision));
  }
};

struct OwnersResult
{
  std::map<std::string, std::map<PartitionId, std::optional<NodeId>>> services;

  static constexpr auto fields()
  {
    return std::make_tuple(field("services", &OwnersResult::services));
  }
};

std::string readFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

// Returns the status reported by a daemon, or an empty one if it doesn't respond within 300 ms.
StatusResponse queryStatus(const NodeLayout& aNode)
{
  return orElse(
    [&]() -> Result<StatusResponse> {
      BOOST_LEAF_AUTO(response, httpCall(aNode.operators, "GET", "/status", "", Millis(300)));
      return fromJson<StatusResponse>(response.body);
    },
    [](const ErrorInfo&) { return StatusResponse(); });
}

bool isLeader(const NodeLayout& aNode)
{
  return queryStatus(aNode).role == "leader";
}

} // namespace

std::string RunFolders::targetRecordPath(NodeId aNode) const
{
  return work + "/targets/" + std::to_string(aNode) + ".jsonl";
}

std::string RunFolders::nodeFolder(NodeId aNode) const
{
  return work + "/nodes/" + std::to_string(aNode);
}

Result<QCborValue> commandResultValue(const std::string& aOutput)
{
  BOOST_LEAF_AUTO(response, parseJson(aOutput));
  const QCborValue result = response.toMap().value(QLatin1String("result"));
  return result.isUndefined() ? response : result;
}

Fleet::Fleet(FleetLayout aLayout, RunFolders aFolders, std::uint64_t aSeed,
             ProcessGroup& aProcesses)
  : mLayout(std::move(aLayout))
  , mFolders(std::move(aFolders))
  , mSeed(aSeed)
  , mProcesses(aProcesses)
{
}

Result<void> Fleet::start()
{
  for (const char* it : { "/targets", "/nodes", "/ctl" }) {
    std::filesystem::create_directories(mFolders.work + it);
  }
  if (!mLayout.links().empty()) {
    BOOST_LEAF_CHECK(startProxy());
  }
  for (const auto& it : mLayout.nodes()) {
    if (it.service) {
      BOOST_LEAF_CHECK(startTarget(it));
    }
  }
  for (const auto& it : mLayout.nodes()) {
    BOOST_LEAF_CHECK(startDaemon(it));
  }
  BOOST_LEAF_CHECK(waitUntilReady());
  return pollUntil("a control leader", kReadyTimeout, [&] {
    return std::any_of(mLayout.nodes().begin(), mLayout.nodes().end(), isLeader);
  });
}

Result<void> Fleet::startProxy()
{
  std::vector<std::string> arguments{ "--admin", endpointText(mLayout.proxyAdmin()), "--seed",
                                      std::to_string(mSeed) };
  for (const auto& it : mLayout.links()) {
    arguments.emplace_back("--link");
    arguments.push_back(it.name() + "=" + endpointText(it.listen) + ">" +
                        endpointText(mLayout.node(it.to).peers));
  }
  BOOST_LEAF_CHECK(mProcesses.start(
    { "proxy", mFolders.testing + "/fault-proxy", arguments, mFolders.work + "/proxy.log" }));
  return {};
}

Result<void> Fleet::startTarget(const NodeLayout& aNode)
{
  const ServiceStatement& service = *aNode.service;
  std::vector<std::string> arguments{
    "--listen",
    endpointText(aNode.target),
    "--admin",
    endpointText(aNode.targetAdmin),
    "--id",
    std::to_string(aNode.id),
    "--service",
    service.name,
    "--slots",
    std::to_string(service.slots),
    "--cold-slots",
    std::to_string(service.coldSlots),
    "--warm-up-ms",
    std::to_string(service.warmUp.count()),
    "--service-time-ms",
    std::to_string(service.serviceTimeMs),
    "--record",
    mFolders.targetRecordPath(aNode.id),
    "--seed",
    std::to_string(mSeed * 1000 + aNode.id),
  };
  if (service.hasFixedServiceTime) {
    arguments.emplace_back("--fixed");
  }
  if (service.shedsLoad) {
    arguments.emplace_back("--shed");
  }
  if (mLayout.fleet().checksGrants) {
    arguments.emplace_back("--checks-grants");
  }
  for (const auto& it : mSecrets) {
    arguments.emplace_back("--secret");
    arguments.push_back(it);
  }
  const std::string id = std::to_string(aNode.id);
  BOOST_LEAF_AUTO(pid, mProcesses.start({ "target " + id, mFolders.testing + "/target-standin",
                                          arguments, mFolders.work + "/targets/" + id + ".log" }));
  mTargetPids[aNode.id] = pid;
  return {};
}

Result<void> Fleet::startDaemon(const NodeLayout& aNode)
{
  const std::string folder = mFolders.nodeFolder(aNode.id);
  std::filesystem::create_directories(folder + "/data");
  std::ofstream(folder + "/settings.ini") << mLayout.settings(aNode.id, folder + "/data");
  BOOST_LEAF_AUTO(pid, mProcesses.start({ "node " + std::to_string(aNode.id),
                                          mFolders.bin + "/camphorcleatd",
                                          { "--config", folder + "/settings.ini" },
                                          folder + "/log.txt" }));
  mDaemonPids[aNode.id] = pid;
  return {};
}

bool Fleet::isReady(const NodeLayout& aNode) const
{
  return orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(response, httpCall(aNode.operators, "GET", "/readyz", "", Millis(300)));
      return response.status == 200;
    },
    [](const ErrorInfo&) { return false; });
}

Result<void> Fleet::waitUntilReady()
{
  for (const auto& it : mLayout.nodes()) {
    const std::string name = "node " + std::to_string(it.id) + " to be ready";
    BOOST_LEAF_CHECK(pollUntil(name, kReadyTimeout, [&] {
      return !mProcesses.isRunning(mDaemonPids[it.id]) || isReady(it);
    }));
  }
  return {};
}

Result<void> Fleet::waitForRevision(Revision aRevision)
{
  const std::string text = std::to_string(aRevision);
  for (const auto& it : mLayout.nodes()) {
    const std::string what = "node " + std::to_string(it.id) + " to apply revision " + text;
    BOOST_LEAF_CHECK(pollUntil(what, kReadyTimeout, [&] {
      return !mProcesses.isRunning(mDaemonPids[it.id]) ||
             queryStatus(it).revision.value_or(0) >= aRevision;
    }));
  }
  return {};
}

Result<CommandResult> Fleet::runCommand(const std::string& aText)
{
  const std::string output = mFolders.work + "/ctl/" + std::to_string(++mCommandCount) + ".txt";
  BOOST_LEAF_AUTO(pid,
                  mProcesses.start({ "camphorcleatctl",
                                     mFolders.bin + "/camphorcleatctl",
                                     { "--connect", mLayout.operatorAddresses(), "--json", aText },
                                     output }));
  BOOST_LEAF_CHECK(pollUntil("the result of '" + aText + "'", kCommandTimeout,
                             [&] { return !mProcesses.isRunning(pid); }));
  return CommandResult{ mProcesses.wait(pid, Millis(0))->exitStatus, readFile(output) };
}

Result<PartitionOwners> Fleet::queryOwners(const std::string& aService)
{
  BOOST_LEAF_AUTO(result, runCommand("show owners"));
  if (result.exitStatus != 0) {
    return fail(HarnessError{ "show owners failed: " + result.output });
  }
  BOOST_LEAF_AUTO(value, commandResultValue(result.output));
  BOOST_LEAF_AUTO(response, fromCborValue<OwnersResult>(value));
  PartitionOwners out;
  for (const auto& [partition, node] : response.services[aService]) {
    if (node.value_or(kNoNode) != kNoNode) {
      out[partition] = *node;
    }
  }
  return out;
}

Result<NodeId> Fleet::waitForLeader()
{
  NodeId out = kNoNode;
  // No node is leader during an election.
  BOOST_LEAF_CHECK(pollUntil("a control leader", kReadyTimeout, [&] {
    for (const auto& it : mLayout.nodes()) {
      if (out == kNoNode && it.isControl && isLeader(it)) {
        out = it.id;
      }
    }
    return out != kNoNode;
  }));
  return out;
}

void Fleet::signalDaemon(NodeId aNode, int aSignal)
{
  mProcesses.signal(mDaemonPids[aNode], aSignal);
}

void Fleet::signalTarget(NodeId aNode, int aSignal)
{
  const auto it = mTargetPids.find(aNode);
  if (it != mTargetPids.end()) {
    mProcesses.signal(it->second, aSignal);
  }
}

Result<void> Fleet::stopDaemon(NodeId aNode)
{
  signalDaemon(aNode, SIGTERM);
  const pid_t pid = mDaemonPids[aNode];
  BOOST_LEAF_CHECK(pollUntil("the end of node " + std::to_string(aNode), kStopTimeout,
                             [&] { return !mProcesses.isRunning(pid); }));
  const auto processExit = mProcesses.wait(pid, Millis(0));
  if (processExit && processExit->exitStatus != 0 && processExit->signal != SIGKILL) {
    return fail(HarnessError{ processExit->message() + " after SIGTERM" });
  }
  return {};
}

Result<void> Fleet::restartDaemon(NodeId aNode, bool aWithEmptyDisk)
{
  if (mProcesses.isRunning(mDaemonPids[aNode])) {
    BOOST_LEAF_CHECK(stopDaemon(aNode));
  }
  if (aWithEmptyDisk) {
    std::filesystem::remove_all(mFolders.nodeFolder(aNode) + "/data");
  }
  return startDaemon(mLayout.node(aNode));
}

Result<void> Fleet::restartTargetProcess(NodeId aNode)
{
  const NodeLayout& node = mLayout.node(aNode);
  if (!node.service || mProcesses.isRunning(mTargetPids[aNode])) {
    return {};
  }
  return startTarget(node);
}

Result<void> Fleet::setProxyLink(const std::string& aLink, const std::string& aQuery)
{
  BOOST_LEAF_AUTO(response, httpCall(mLayout.proxyAdmin(), "POST",
                                     "/set?link=" + aLink + "&" + aQuery, "", kAdminCallTimeout));
  if (response.status != 200) {
    return fail(HarnessError{ "fault-proxy refused: " + response.body });
  }
  return {};
}

Result<void> Fleet::cut(NodeId aFrom, NodeId aTo)
{
  // Bytes from aFrom to aTo flow to the server on connections opened by aFrom, and to the client on
  // connections opened by aTo.
  const std::pair<std::string, std::string> directionsByLink[] = {
    { LinkLayout{ aFrom, aTo, {} }.name(), "to_server" },
    { LinkLayout{ aTo, aFrom, {} }.name(), "to_client" },
  };
  for (const auto& [link, direction] : directionsByLink) {
    auto& directions = mCutDirections[link];
    directions.insert(direction);
    BOOST_LEAF_CHECK(setProxyLink(link, "cut=" + (directions.size() == 2 ? "both" : direction)));
  }
  return {};
}

Result<void> Fleet::heal()
{
  mCutDirections.clear();
  return mLayout.links().empty() ? Result<void>() : setProxyLink("*", "cut=none");
}

Result<void> Fleet::silence(NodeId aFrom, NodeId aTo)
{
  BOOST_LEAF_CHECK(setProxyLink(LinkLayout{ aFrom, aTo, {} }.name(), "silence_open=1"));
  return setProxyLink(LinkLayout{ aTo, aFrom, {} }.name(), "silence_open=1");
}

Result<void> Fleet::reset(NodeId aFrom, NodeId aTo)
{
  BOOST_LEAF_CHECK(setProxyLink(LinkLayout{ aFrom, aTo, {} }.name(), "reset=1"));
  return setProxyLink(LinkLayout{ aTo, aFrom, {} }.name(), "reset=1");
}

Result<void> Fleet::delayAll(Millis aDelay, Millis aJitter)
{
  return setProxyLink("*", "delay_ms=" + std::to_string(aDelay.count()) +
                             "&jitter_ms=" + std::to_string(aJitter.count()));
}

Result<void> Fleet::postToTarget(NodeId aNode, const std::string& aPathAndQuery,
                                 const std::string& aBody)
{
  BOOST_LEAF_AUTO(response, httpCall(mLayout.node(aNode).targetAdmin, "POST", aPathAndQuery, aBody,
                                     kAdminCallTimeout));
  if (response.status != 200) {
    return fail(HarnessError{ "target " + std::to_string(aNode) + " refused " + aPathAndQuery +
                              ": " + response.body });
  }
  return {};
}

Result<void> Fleet::addSecret(const std::string& aText)
{
  mSecrets.push_back(aText);
  for (const auto& [node, pid] : mTargetPids) {
    if (mProcesses.isRunning(pid)) {
      BOOST_LEAF_CHECK(postToTarget(node, "/secret", aText));
    }
  }
  return {};
}

} // namespace camphorcleat::harness
