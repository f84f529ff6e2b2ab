// Executes the statements by means of Fleet and LoadGroup, and records the data for the measures.

#include "harness/ScenarioRunner.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <set>
#include <sstream>

#include "base/Hash.h"
#include "harness/HarnessErrors.h"
#include "harness/Interruption.h"
#include "harness/JsonLines.h"
#include "harness/Measures.h"
#include "harness/SecretScan.h"

namespace camphorcleat::harness {

namespace {

// Up to 8 keys of a lost node are probed. Each is probed every 50 ms, which bounds the error of the
// measured gap to 50 ms. The probes start before the loss so that their connections are already
// open. The rate of their account is so high that none is refused for it.
constexpr std::size_t kProbedKeyCount = 8;
constexpr double kProbesPerSecond = 20;
constexpr Millis kProbeLeadTime{ 500 };
constexpr const char* kProbeAccount = "scenario-probe";
constexpr double kProbeRate = 10'000;

constexpr Millis kOwnersTimeout{ 15'000 };
constexpr Millis kTerminationGrace{ 3000 };

struct GeneratedKey
{
  std::string value;

  static constexpr auto fields() { return std::make_tuple(field("value", &GeneratedKey::value)); }
};

struct CreateKeyResult
{
  std::vector<GeneratedKey> keys;

  static constexpr auto fields()
  {
    return std::make_tuple(field("generated_keys", &CreateKeyResult::keys));
  }
};

// Returns the account key in the output of `create key`.
Result<std::string> parseAccountKey(const std::string& aOutput)
{
  BOOST_LEAF_AUTO(value, commandResultValue(aOutput));
  BOOST_LEAF_AUTO(result, fromCborValue<CreateKeyResult>(value));
  if (result.keys.size() != 1 || result.keys.front().value.empty()) {
    return fail(HarnessError{ "the output of 'create key' contains no account key" });
  }
  return result.keys.front().value;
}

struct CommandResponse
{
  std::optional<Revision> revision;

  static constexpr auto fields()
  {
    return std::make_tuple(field("revision", &CommandResponse::revision));
  }
};

// Results of the queries `show accounts`, `show zones` and `show services`.

struct AccountSettings
{
  std::string name;
  double requestsPerSecond = 0;
  double burstRequests = 0;
  std::vector<std::string> keys;

  static constexpr auto fields()
  {
    return std::make_tuple(field("name", &AccountSettings::name),
                           field("requests_per_second", &AccountSettings::requestsPerSecond),
                           field("burst_requests", &AccountSettings::burstRequests),
                           field("keys", &AccountSettings::keys));
  }
};

struct ZoneSettings
{
  std::string name;
  bool isOut = false;

  static constexpr auto fields()
  {
    return std::make_tuple(field("name", &ZoneSettings::name), field("out", &ZoneSettings::isOut));
  }
};

struct ServiceSettings
{
  std::string name;

  static constexpr auto fields() { return std::make_tuple(field("name", &ServiceSettings::name)); }
};

struct SettingsQueryResult
{
  // Each query returns one of them.
  std::optional<std::vector<AccountSettings>> accounts;
  std::optional<std::vector<ZoneSettings>> zones;
  std::optional<std::vector<ServiceSettings>> services;

  static constexpr auto fields()
  {
    return std::make_tuple(field("accounts", &SettingsQueryResult::accounts),
                           field("zones", &SettingsQueryResult::zones),
                           field("services", &SettingsQueryResult::services));
  }
};

struct SettingsQueryResponse
{
  SettingsQueryResult result;

  static constexpr auto fields()
  {
    return std::make_tuple(field("result", &SettingsQueryResponse::result));
  }
};

std::string formatRate(double aRate, double aBurst)
{
  std::ostringstream out;
  out << aRate << "/s burst " << aBurst;
  return out.str();
}

std::vector<std::string> splitWords(const std::string& aText)
{
  std::istringstream in(aText);
  std::vector<std::string> out;
  std::string word;
  while (in >> word) {
    out.push_back(word);
  }
  return out;
}

bool containsAny(const std::vector<std::string>& aTexts, const std::string& aText)
{
  return std::any_of(aTexts.begin(), aTexts.end(), [&](const std::string& aPart) {
    return aText.find(aPart) != std::string::npos;
  });
}

bool isSatisfied(ExpectStatement::Comparison aComparison, double aMeasured, double aExpected)
{
  using Comparison = ExpectStatement::Comparison;
  switch (aComparison) {
    case Comparison::AtMost:
      return aMeasured <= aExpected;
    case Comparison::AtLeast:
      return aMeasured >= aExpected;
    case Comparison::Below:
      return aMeasured < aExpected;
    case Comparison::Above:
      return aMeasured > aExpected;
    case Comparison::Equal:
      return aMeasured == aExpected;
  }
  return false;
}

// Returns whether a process exits on its own, unlike daemons, targets and the proxy.
bool isShortLived(const std::string& aName)
{
  return aName == "camphorcleatctl" || aName.rfind("load ", 0) == 0;
}

} // namespace

ScenarioRunner::ScenarioRunner(RunnerSettings aSettings, ScenarioReport& aReport)
  : mFolders(std::move(aSettings.folders))
  , mSeed(aSettings.seed)
  , mProbeDuration(aSettings.probeDuration)
  , mReport(aReport)
  , mProcesses(mFolders.testing + "/child-starter")
  , mLoads(mFolders.testing + "/load-driver", mFolders.work + "/loads", mProcesses)
{
}

void ScenarioRunner::run(const Scenario& aScenario)
{
  for (const auto& it : aScenario) {
    const std::string failure = orElse(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(executeStatement(it));
        return std::string();
      },
      [](const ErrorInfo& aInfo) { return aInfo.message; });
    reportUnexpectedExits();
    if (!failure.empty()) {
      mReport.addFailure("line " + std::to_string(it.line) + ", " + it.text + ": " + failure);
      break;
    }
  }
  mProcesses.terminateAll(kTerminationGrace);
}

Result<void> ScenarioRunner::executeStatement(const Statement& aStatement)
{
  mCurrentStatement = &aStatement;
  const bool isExpectation = std::holds_alternative<ExpectStatement>(aStatement.body);
  if (!isExpectation) {
    mIsRunRecordCurrent = false;
    mReport.addTimelineEntry(aStatement.text);
  }
  return std::visit([&](const auto& aBody) { return execute(aBody); }, aStatement.body);
}

void ScenarioRunner::reportUnexpectedExits()
{
  for (const auto& it : mProcesses.takeExits()) {
    if (!it.wasRequested && !isShortLived(it.name)) {
      mReport.addFailure(it.message() + " although the scenario did not stop it");
    }
  }
}

Result<void> ScenarioRunner::execute(const FleetStatement& aFleet)
{
  mFleetStatement = aFleet;
  return {};
}

Result<void> ScenarioRunner::execute(const ServiceStatement& aService)
{
  mFleetStatement.services.push_back(aService);
  return {};
}

Result<void> ScenarioRunner::execute(const StartStatement&)
{
  BOOST_LEAF_AUTO(layout, FleetLayout::make(mFleetStatement, mPorts));
  for (const auto& it : layout.nodes()) {
    mRunRecord.zoneOfTarget[it.id] = it.zone;
    if (it.service) {
      mRunRecord.serviceOfTarget[it.id] = it.service->name;
    }
  }
  mFleet.emplace(std::move(layout), mFolders, mSeed, mProcesses);
  return mFleet->start();
}

Result<void> ScenarioRunner::execute(const OperatorStatement& aOperator)
{
  const std::int64_t atUs = monotonicMicros();
  BOOST_LEAF_AUTO(result, mFleet->runCommand(aOperator.text));
  if (!aOperator.expectedCode.empty()) {
    const bool hasExpectedCode =
      result.exitStatus != 0 && result.output.find(aOperator.expectedCode) != std::string::npos;
    return hasExpectedCode
             ? Result<void>()
             : fail(HarnessError{ "expected code " + aOperator.expectedCode + ", got status " +
                                  std::to_string(result.exitStatus) + ": " + result.output });
  }
  if (result.exitStatus != 0) {
    return fail(HarnessError{ "camphorcleatctl exited with status " +
                              std::to_string(result.exitStatus) + ": " + result.output });
  }
  const std::int64_t acceptedUs = monotonicMicros();
  BOOST_LEAF_AUTO(response, fromJson<CommandResponse>(result.output));
  mLastAccepted = AcceptedCommand{ aOperator.text, acceptedUs, response.revision.value_or(0) };
  return recordCommand(aOperator.text, atUs);
}

// Records those effects of an accepted command from which measures are computed. aAtUs is a time
// before the command was sent.
Result<void> ScenarioRunner::recordCommand(const std::string& aText, std::int64_t aAtUs)
{
  const std::vector<std::string> words = splitWords(aText);
  const auto isCommand = [&](const char* aFirst, const char* aSecond, std::size_t aCount) {
    return words.size() >= aCount && words[0] == aFirst && words[1] == aSecond;
  };
  if (isCommand("zone", "out", 3)) {
    mRunRecord.zoneRemovals.push_back({ words[2], aAtUs, std::nullopt });
    recordAcceptedSetting("zone " + words[2], "out");
  } else if (isCommand("zone", "in", 3)) {
    recordAcceptedSetting("zone " + words[2], "in");
    for (auto& it : mRunRecord.zoneRemovals) {
      if (it.zone == words[2] && !it.untilUs) {
        it.untilUs = aAtUs;
      }
    }
  } else if (isCommand("withdraw", "key", 3)) {
    mRunRecord.keyWithdrawals.push_back({ words[2], aAtUs });
    if (words.size() > 3) {
      recordAcceptedSetting("key " + words[2] + " " + words[3], "withdrawn");
    }
  } else if (isCommand("set", "rate", 6) && words[4] == "burst") {
    mRunRecord.rates[words[2]].push_back({ aAtUs, std::stod(words[3]), std::stod(words[5]) });
    recordAcceptedSetting("rate " + words[2], formatRate(std::stod(words[3]), std::stod(words[5])));
  } else if (isCommand("create", "service", 3)) {
    recordAcceptedSetting("service " + words[2], "there");
  }
  return {};
}

void ScenarioRunner::recordAcceptedSetting(const std::string& aObject, const std::string& aExpected)
{
  mAcceptedSettings[aObject] = aExpected;
}

// Queries the fleet for the current values of all accepted settings.
Result<void> ScenarioRunner::queryAcceptedSettings()
{
  std::map<std::string, std::string> found;
  for (const char* query : { "show accounts", "show zones", "show services" }) {
    BOOST_LEAF_AUTO(result, mFleet->runCommand(query));
    if (result.exitStatus != 0) {
      return fail(HarnessError{ std::string(query) + " failed: " + result.output });
    }
    BOOST_LEAF_AUTO(response, fromJson<SettingsQueryResponse>(result.output));
    for (const auto& it : response.result.accounts.value_or(std::vector<AccountSettings>())) {
      found["rate " + it.name] = formatRate(it.requestsPerSecond, it.burstRequests);
      for (const auto& key : it.keys) {
        found["key " + it.name + " " + key] = "there";
      }
    }
    for (const auto& it : response.result.zones.value_or(std::vector<ZoneSettings>())) {
      found["zone " + it.name] = it.isOut ? "out" : "in";
    }
    for (const auto& it : response.result.services.value_or(std::vector<ServiceSettings>())) {
      found["service " + it.name] = "there";
    }
  }
  mRunRecord.acceptedSettings.clear();
  for (const auto& [object, expected] : mAcceptedSettings) {
    AcceptedSetting setting{ object, expected, std::nullopt };
    if (const auto it = found.find(object); it != found.end()) {
      setting.found = it->second;
    } else if (expected == "withdrawn") { // A withdrawn key is no longer listed.
      setting.found = expected;
    }
    mRunRecord.acceptedSettings.push_back(std::move(setting));
  }
  return {};
}

Result<void> ScenarioRunner::execute(const AccountStatement& aAccount)
{
  return createAccount(aAccount.name, aAccount.ratePerSecond, aAccount.burst);
}

// Creates an account with one account key.
Result<void> ScenarioRunner::createAccount(const std::string& aName, double aRate, double aBurst)
{
  std::ostringstream create;
  create << "create account " << aName << " rate " << aRate << " burst " << aBurst;
  for (const std::string& text : { create.str(), "create key " + aName + " main" }) {
    BOOST_LEAF_AUTO(result, mFleet->runCommand(text));
    if (result.exitStatus != 0) {
      return fail(HarnessError{ "'" + text + "' exited with status " +
                                std::to_string(result.exitStatus) + ": " + result.output });
    }
    if (text != create.str()) {
      BOOST_LEAF_ASSIGN(mAccountKeys[aName], parseAccountKey(result.output));
    }
  }
  recordAcceptedSetting("rate " + aName, formatRate(aRate, aBurst));
  recordAcceptedSetting("key " + aName + " main", "there");
  mRunRecord.rates[aName].push_back({ monotonicMicros(), aRate, aBurst });
  return mFleet->addSecret(mAccountKeys[aName]);
}

// Returns the caller addresses of aVia, or of all nodes with a target if aVia is kNoNode, but not
// of aExcept.
std::vector<std::string> ScenarioRunner::entryAddresses(NodeId aVia, NodeId aExcept) const
{
  std::vector<std::string> out;
  for (const auto& it : mFleet->layout().nodes()) {
    const bool isEligible = aVia == kNoNode ? it.service.has_value() : it.id == aVia;
    if (isEligible && it.id != aExcept) {
      out.push_back(endpointText(it.callers));
    }
  }
  return out;
}

Result<void> ScenarioRunner::execute(const LoadStatement& aLoad)
{
  LoadStreamPlan stream;
  stream.name = aLoad.name;
  stream.account = aLoad.account;
  stream.accountKey = mAccountKeys[aLoad.account];
  stream.service = aLoad.service;
  for (const auto& it : mFleetStatement.services) {
    stream.isKeyed = it.name == aLoad.service ? it.isKeyed : stream.isKeyed.value_or(true);
  }
  stream.keyCount = aLoad.keyCount;
  stream.firstKey = aLoad.firstKey;
  if (!aLoad.onlyKey.empty()) {
    stream.keyList = std::vector<std::string>{ aLoad.onlyKey };
  }
  stream.zipfExponent = aLoad.zipfExponent;
  stream.postShare = aLoad.postPercent / 100;
  stream.ratePerSecond = aLoad.ratePerSecond;
  stream.isSteady = aLoad.isSteady;
  stream.bodyBytes = aLoad.bodyBytes;
  stream.responseBytes = aLoad.responseBytes;
  stream.hasIdempotencyKeys = aLoad.hasIdempotencyKeys;
  stream.deadline = aLoad.deadline;
  if (aLoad.work) {
    stream.workMs = static_cast<double>(aLoad.work->count());
  }
  LoadPlan plan;
  plan.name = aLoad.name;
  plan.entries = entryAddresses(aLoad.via, kNoNode);
  plan.streams = { stream };
  plan.duration = aLoad.duration;
  plan.seed = hash64(aLoad.name, mSeed) >> 12U; // 52 bits, which a JSON number represents exactly.
  return mLoads.start(plan);
}

Result<void> ScenarioRunner::execute(const WaitStatement& aWait)
{
  return sleepFor(aWait.duration);
}

Result<void> ScenarioRunner::execute(const WaitOwnedStatement& aWait)
{
  std::size_t owned = 0;
  return pollUntil("owners of all partitions of " + aWait.service, kOwnersTimeout, [&] {
    owned = orElse(
      [&]() -> Result<std::size_t> {
        BOOST_LEAF_AUTO(owners, mFleet->queryOwners(aWait.service));
        return owners.size();
      },
      [](const ErrorInfo&) { return std::size_t(0); });
    return owned == mFleetStatement.partitions;
  });
}

Result<void> ScenarioRunner::execute(const WaitLoadsStatement&)
{
  return mLoads.wait();
}

Result<void> ScenarioRunner::execute(const WaitReadyStatement&)
{
  return mFleet->waitUntilReady();
}

Result<void> ScenarioRunner::execute(const WaitConfigStatement&)
{
  if (!mLastAccepted) {
    return fail(HarnessError{ "no operator command was accepted yet" });
  }
  BOOST_LEAF_CHECK(mFleet->waitForRevision(mLastAccepted->revision));
  mRunRecord.configPropagations.push_back(
    { mLastAccepted->text, mLastAccepted->acceptedUs, monotonicMicros() });
  return {};
}

const ServiceStatement* ScenarioRunner::firstKeyedService() const
{
  const auto it = std::find_if(mFleetStatement.services.begin(), mFleetStatement.services.end(),
                               [](const ServiceStatement& aService) { return aService.isKeyed; });
  return it == mFleetStatement.services.end() ? nullptr : &*it;
}

Result<NodeId> ScenarioRunner::findOwner(const std::string& aService, const std::string& aKey)
{
  const ServiceStatement* keyed = firstKeyedService();
  if (aService.empty() && keyed == nullptr) {
    return fail(HarnessError{ "no service is keyed" });
  }
  const std::string service = aService.empty() ? keyed->name : aService;
  BOOST_LEAF_AUTO(owners, mFleet->queryOwners(service));
  const auto it = owners.find(partitionOf(service, aKey, mFleetStatement.partitions));
  if (it == owners.end()) {
    return fail(HarnessError{ "key " + service + "/" + aKey + " has no owner" });
  }
  return it->second;
}

Result<std::vector<NodeId>> ScenarioRunner::resolveNodes(const NodeReference& aReference)
{
  std::vector<NodeId> out;
  switch (aReference.kind) {
    case NodeReference::Kind::Node:
      out.push_back(aReference.node);
      break;
    case NodeReference::Kind::Leader: {
      BOOST_LEAF_AUTO(leader, mFleet->waitForLeader());
      out.push_back(leader);
      break;
    }
    case NodeReference::Kind::OwnerOf: {
      BOOST_LEAF_AUTO(owner, findOwner(aReference.service, aReference.key));
      out.push_back(owner);
      break;
    }
    case NodeReference::Kind::All:
      for (const auto& it : mFleet->layout().nodes()) {
        out.push_back(it.id);
      }
      break;
  }
  return out;
}

// Returns all ordered pairs of two different nodes from aFrom and aTo.
Result<std::vector<std::pair<NodeId, NodeId>>> ScenarioRunner::resolveNodePairs(
  const NodeReference& aFrom, const NodeReference& aTo)
{
  BOOST_LEAF_AUTO(sources, resolveNodes(aFrom));
  BOOST_LEAF_AUTO(destinations, resolveNodes(aTo));
  std::vector<std::pair<NodeId, NodeId>> out;
  for (const NodeId from : sources) {
    for (const NodeId to : destinations) {
      if (from != to) {
        out.emplace_back(from, to);
      }
    }
  }
  return out;
}

// Returns up to kProbedKeyCount keys of a service, each in a different partition owned by the node.
// If the node owns none, such as a control member without a target, partitions of all nodes are
// used.
Result<std::vector<std::string>> ScenarioRunner::probeKeysOf(const std::string& aService,
                                                             NodeId aNode)
{
  BOOST_LEAF_AUTO(owners, mFleet->queryOwners(aService));
  const bool ownsAny = std::any_of(owners.begin(), owners.end(),
                                   [&](const auto& aOwner) { return aOwner.second == aNode; });
  std::set<PartitionId> uncoveredPartitions;
  for (const auto& [partition, node] : owners) {
    if (!ownsAny || node == aNode) {
      uncoveredPartitions.insert(partition);
    }
  }
  const std::size_t count = std::min(uncoveredPartitions.size(), kProbedKeyCount);
  std::vector<std::string> out;
  for (unsigned n = 0; out.size() < count; ++n) {
    const std::string key = "probe" + std::to_string(n);
    if (uncoveredPartitions.erase(partitionOf(aService, key, mFleetStatement.partitions)) > 0) {
      out.push_back(key);
    }
  }
  return out;
}

// Starts probes of the keys of a node that is about to be lost, waits for kProbeLeadTime, and
// records the loss. The probes don't use the node as entry.
Result<void> ScenarioRunner::startLossProbes(const std::string& aDescription, NodeId aNode)
{
  const ServiceStatement* service = firstKeyedService();
  if (service == nullptr) {
    return {};
  }
  if (mAccountKeys.count(kProbeAccount) == 0) {
    BOOST_LEAF_CHECK(createAccount(kProbeAccount, kProbeRate, kProbeRate));
  }
  BOOST_LEAF_AUTO(keys, probeKeysOf(service->name, aNode));
  LoadPlan plan;
  plan.name = "probe-" + std::to_string(mRunRecord.losses.size() + 1);
  plan.entries = entryAddresses(kNoNode, aNode);
  plan.duration = kProbeLeadTime + mProbeDuration;
  plan.seed = mSeed;
  for (const auto& key : keys) {
    LoadStreamPlan stream;
    stream.name = plan.name;
    stream.account = kProbeAccount;
    stream.accountKey = mAccountKeys[kProbeAccount];
    stream.service = service->name;
    stream.keyList = std::vector<std::string>{ key };
    stream.ratePerSecond = kProbesPerSecond;
    stream.isSteady = true;
    plan.streams.push_back(std::move(stream));
  }
  if (plan.streams.empty() || plan.entries.empty()) {
    return fail(HarnessError{ "no key or no entry for probes of " + aDescription });
  }
  BOOST_LEAF_CHECK(mLoads.start(plan));
  BOOST_LEAF_CHECK(sleepFor(kProbeLeadTime));
  mRunRecord.losses.push_back({ monotonicMicros(), aDescription, plan.name });
  return {};
}

Result<void> ScenarioRunner::execute(const ProcessStatement& aProcess)
{
  using Action = ProcessStatement::Action;
  BOOST_LEAF_AUTO(nodes, resolveNodes(aProcess.node));
  // Only the loss of a single node is measured; `kill all` leaves no entry for probes.
  const bool isNodeLoss = aProcess.action == Action::Kill || aProcess.action == Action::Freeze;
  for (const NodeId it : nodes) {
    if (isNodeLoss && nodes.size() == 1) {
      BOOST_LEAF_CHECK(
        startLossProbes(mCurrentStatement->text + " (node " + std::to_string(it) + ")", it));
    }
    if (aProcess.node.kind != NodeReference::Kind::Node) {
      mReport.addTimelineEntry("  resolved to node " + std::to_string(it));
    }
    BOOST_LEAF_CHECK(applyAction(aProcess, it));
  }
  return {};
}

Result<void> ScenarioRunner::applyAction(const ProcessStatement& aProcess, NodeId aNode)
{
  using Action = ProcessStatement::Action;
  const auto signalNode = [&](int aSignal) {
    mFleet->signalDaemon(aNode, aSignal);
    if (aProcess.node.isWholeVm) {
      mFleet->signalTarget(aNode, aSignal);
    }
    return Result<void>();
  };
  switch (aProcess.action) {
    case Action::Kill:
      return signalNode(SIGKILL);
    case Action::Freeze:
      return signalNode(SIGSTOP);
    case Action::Resume:
      return signalNode(SIGCONT);
    case Action::Stop:
      return mFleet->stopDaemon(aNode);
    case Action::Restart:
      if (aProcess.node.isWholeVm) {
        BOOST_LEAF_CHECK(mFleet->restartTargetProcess(aNode));
      }
      return mFleet->restartDaemon(aNode, aProcess.hasEmptyDisk);
  }
  return {};
}

Result<void> ScenarioRunner::execute(const CutStatement& aCut)
{
  BOOST_LEAF_AUTO(nodePairs, resolveNodePairs(aCut.from, aCut.to));
  // A cut from one node to all others isolates the node, so it is measured as a loss.
  const bool isNodeLoss = aCut.from.kind != NodeReference::Kind::All &&
                          aCut.to.kind == NodeReference::Kind::All && !nodePairs.empty();
  if (isNodeLoss) {
    const NodeId node = nodePairs.front().first;
    mReport.addTimelineEntry("  isolates node " + std::to_string(node));
    BOOST_LEAF_CHECK(
      startLossProbes(mCurrentStatement->text + " (node " + std::to_string(node) + ")", node));
  }
  for (const auto& [from, to] : nodePairs) {
    BOOST_LEAF_CHECK(mFleet->cut(from, to));
    if (aCut.isBidirectional) {
      BOOST_LEAF_CHECK(mFleet->cut(to, from));
    }
  }
  return {};
}

Result<void> ScenarioRunner::execute(const HealStatement&)
{
  return mFleet->heal();
}

Result<void> ScenarioRunner::execute(const SilenceStatement& aSilence)
{
  BOOST_LEAF_AUTO(nodePairs, resolveNodePairs(aSilence.from, aSilence.to));
  for (const auto& [from, to] : nodePairs) {
    BOOST_LEAF_CHECK(mFleet->silence(from, to));
  }
  return {};
}

Result<void> ScenarioRunner::execute(const ResetStatement& aReset)
{
  BOOST_LEAF_AUTO(nodePairs, resolveNodePairs(aReset.from, aReset.to));
  for (const auto& [from, to] : nodePairs) {
    BOOST_LEAF_CHECK(mFleet->reset(from, to));
  }
  return {};
}

Result<void> ScenarioRunner::execute(const DelayStatement& aDelay)
{
  return mFleet->delayAll(aDelay.delay, aDelay.jitter);
}

Result<void> ScenarioRunner::execute(const TargetStatement& aTarget)
{
  using Action = TargetStatement::Action;
  std::ostringstream slow;
  slow << "/slow?factor=" << aTarget.factor << "&ms=" << aTarget.duration.count();
  switch (aTarget.action) {
    case Action::Slow:
      return mFleet->postToTarget(aTarget.node, slow.str());
    case Action::Cold:
      return mFleet->postToTarget(aTarget.node, "/cold");
    case Action::Drain:
      return mFleet->postToTarget(aTarget.node, "/drain");
    case Action::Restart:
      return mFleet->postToTarget(aTarget.node, "/restart");
    case Action::Kill:
      mFleet->signalTarget(aTarget.node, SIGKILL);
      return {};
    case Action::Freeze:
      mFleet->signalTarget(aTarget.node, SIGSTOP);
      return {};
    case Action::Resume:
      mFleet->signalTarget(aTarget.node, SIGCONT);
      return {};
  }
  return {};
}

// Waits for all loads and reads the records of loads and targets.
Result<void> ScenarioRunner::collectRunRecord()
{
  if (mIsRunRecordCurrent) {
    return {};
  }
  BOOST_LEAF_CHECK(mLoads.wait());
  BOOST_LEAF_ASSIGN(mRunRecord.calls, mLoads.records());
  mRunRecord.events.clear();
  for (const auto& it : mFleet->layout().nodes()) {
    if (it.service) {
      BOOST_LEAF_AUTO(events, readJsonLines<TargetEvent>(mFolders.targetRecordPath(it.id)));
      std::move(events.begin(), events.end(), std::back_inserter(mRunRecord.events));
    }
  }
  sortByTime(mRunRecord.events);
  std::vector<std::string> secrets;
  for (const auto& [account, key] : mAccountKeys) {
    secrets.push_back(key);
  }
  mRunRecord.secretOccurrences = countSecrets(mFolders.work + "/nodes", secrets) +
                                 countSecrets(mFolders.work + "/targets", secrets);
  for (const auto& it : mRunRecord.calls) {
    mRunRecord.secretOccurrences += containsAny(secrets, it.message.value_or("")) ? 1 : 0;
  }
  mIsRunRecordCurrent = true;
  return {};
}

Result<void> ScenarioRunner::execute(const ExpectStatement& aExpect)
{
  BOOST_LEAF_CHECK(collectRunRecord());
  if (aExpect.measure == "lost_ack_count") {
    BOOST_LEAF_CHECK(queryAcceptedSettings());
  }
  const MeasureResult result = findMeasure(aExpect.measure)->compute(mRunRecord, aExpect.arguments);
  ExpectationResult expectation;
  expectation.line = mCurrentStatement->line;
  expectation.text = mCurrentStatement->text;
  expectation.value = result.value;
  expectation.detail = result.detail;
  expectation.passed =
    result.value && isSatisfied(aExpect.comparison, *result.value, aExpect.value);
  mReport.addExpectation(std::move(expectation));
  return {};
}

} // namespace camphorcleat::harness
