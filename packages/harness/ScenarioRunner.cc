// Execution of statements.

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

// Probes of keys whose node is lost: 8 keys of it, each every 50 ms, which bounds the error of the
// measured gap to 50 ms. They start before the loss so that connections are open.
constexpr std::size_t kProbedKeys = 8;
constexpr double kProbesPerSecond = 20;
constexpr Millis kProbeLead{ 500 };
constexpr const char* kProbeAccount = "scenario-probe";
constexpr double kProbeRate = 10'000;

constexpr Millis kOwnedTimeout{ 15'000 };
constexpr Millis kEndGrace{ 3000 };

struct GeneratedKey
{
  std::string value;

  static constexpr auto fields() { return std::make_tuple(field("value", &GeneratedKey::value)); }
};

struct KeyAnswer
{
  std::vector<GeneratedKey> keys;

  static constexpr auto fields()
  {
    return std::make_tuple(field("generated_keys", &KeyAnswer::keys));
  }
};

// The account key in the answer to `create key`.
Result<std::string> newAccountKey(const std::string& aOutput)
{
  BOOST_LEAF_AUTO(value, commandValue(aOutput));
  BOOST_LEAF_AUTO(answer, fromCborValue<KeyAnswer>(value));
  if (answer.keys.size() != 1 || answer.keys.front().value.empty()) {
    return fail(HarnessError{ "the answer to 'create key' holds no account key" });
  }
  return answer.keys.front().value;
}

struct CommandAnswer
{
  std::optional<Revision> revision;

  static constexpr auto fields()
  {
    return std::make_tuple(field("revision", &CommandAnswer::revision));
  }
};

// Answers of the queries that show settings.

struct AccountShown
{
  std::string name;
  double requestsPerSecond = 0;
  double burstRequests = 0;
  std::vector<std::string> keys;

  static constexpr auto fields()
  {
    return std::make_tuple(field("name", &AccountShown::name),
                           field("requests_per_second", &AccountShown::requestsPerSecond),
                           field("burst_requests", &AccountShown::burstRequests),
                           field("keys", &AccountShown::keys));
  }
};

struct ZoneShown
{
  std::string name;
  bool isOut = false;

  static constexpr auto fields()
  {
    return std::make_tuple(field("name", &ZoneShown::name), field("out", &ZoneShown::isOut));
  }
};

struct ServiceShown
{
  std::string name;

  static constexpr auto fields() { return std::make_tuple(field("name", &ServiceShown::name)); }
};

struct SettingsShown
{
  // Each query answers with one of them.
  std::optional<std::vector<AccountShown>> accounts;
  std::optional<std::vector<ZoneShown>> zones;
  std::optional<std::vector<ServiceShown>> services;

  static constexpr auto fields()
  {
    return std::make_tuple(field("accounts", &SettingsShown::accounts),
                           field("zones", &SettingsShown::zones),
                           field("services", &SettingsShown::services));
  }
};

struct SettingsEnvelope
{
  SettingsShown result;

  static constexpr auto fields()
  {
    return std::make_tuple(field("result", &SettingsEnvelope::result));
  }
};

std::string rateText(double aRate, double aBurst)
{
  std::ostringstream out;
  out << aRate << "/s burst " << aBurst;
  return out.str();
}

std::vector<std::string> words(const std::string& aText)
{
  std::istringstream in(aText);
  std::vector<std::string> out;
  std::string word;
  while (in >> word) {
    out.push_back(word);
  }
  return out;
}

bool contains(const std::vector<std::string>& aTexts, const std::string& aText)
{
  return std::any_of(aTexts.begin(), aTexts.end(), [&](const std::string& aPart) {
    return aText.find(aPart) != std::string::npos;
  });
}

bool holds(ExpectStatement::Comparison aComparison, double aMeasured, double aExpected)
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

// Programs that end when their work is done, unlike daemons, targets and the proxy.
bool isShortLived(const std::string& aName)
{
  return aName == "camphorcleatctl" || aName.rfind("load ", 0) == 0;
}

} // namespace

ScenarioRunner::ScenarioRunner(RunSettings aSettings, ScenarioReport& aReport)
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
        BOOST_LEAF_CHECK(step(it));
        return std::string();
      },
      [](const ErrorInfo& aInfo) { return aInfo.message; });
    checkProcesses();
    if (!failure.empty()) {
      mReport.fail("line " + std::to_string(it.line) + ", " + it.text + ": " + failure);
      break;
    }
  }
  mProcesses.endAll(kEndGrace);
}

Result<void> ScenarioRunner::step(const Statement& aStatement)
{
  mStatement = &aStatement;
  const bool isExpectation = std::holds_alternative<ExpectStatement>(aStatement.body);
  if (!isExpectation) {
    mIsEvidenceFresh = false;
    mReport.note(aStatement.text);
  }
  return std::visit([&](const auto& aBody) { return execute(aBody); }, aStatement.body);
}

void ScenarioRunner::checkProcesses()
{
  for (const auto& it : mProcesses.takeEnds()) {
    if (!it.wasExpected && !isShortLived(it.name)) {
      mReport.fail(it.message() + " although nothing ended it");
    }
  }
}

Result<void> ScenarioRunner::execute(const FleetStatement& aFleet)
{
  mFleetPlan = aFleet;
  return {};
}

Result<void> ScenarioRunner::execute(const ServiceStatement& aService)
{
  mFleetPlan.services.push_back(aService);
  return {};
}

Result<void> ScenarioRunner::execute(const StartStatement&)
{
  BOOST_LEAF_AUTO(layout, FleetLayout::make(mFleetPlan, mPorts));
  for (const auto& it : layout.nodes()) {
    mEvidence.zoneOfTarget[it.id] = it.zone;
    if (it.service) {
      mEvidence.serviceOfTarget[it.id] = it.service->name;
    }
  }
  mFleet.emplace(std::move(layout), mFolders, mSeed, mProcesses);
  return mFleet->start();
}

Result<void> ScenarioRunner::execute(const OperatorStatement& aOperator)
{
  const std::int64_t atUs = monotonicMicros();
  BOOST_LEAF_AUTO(result, mFleet->command(aOperator.text));
  if (!aOperator.expectedCode.empty()) {
    const bool isExpected =
      result.exitStatus != 0 && result.output.find(aOperator.expectedCode) != std::string::npos;
    return isExpected
             ? Result<void>()
             : fail(HarnessError{ "expected code " + aOperator.expectedCode + ", got status " +
                                  std::to_string(result.exitStatus) + ": " + result.output });
  }
  if (result.exitStatus != 0) {
    return fail(HarnessError{ "camphorcleatctl exited with status " +
                              std::to_string(result.exitStatus) + ": " + result.output });
  }
  const std::int64_t acceptedUs = monotonicMicros();
  BOOST_LEAF_AUTO(answer, fromJson<CommandAnswer>(result.output));
  mLastAccepted = AcceptedCommand{ aOperator.text, acceptedUs, answer.revision.value_or(0) };
  return noteCommand(aOperator.text, atUs);
}

// Remembers what the measures need to know about an accepted command.
Result<void> ScenarioRunner::noteCommand(const std::string& aText, std::int64_t aAtUs)
{
  const std::vector<std::string> parts = words(aText);
  const auto is = [&](const char* aFirst, const char* aSecond, std::size_t aCount) {
    return parts.size() >= aCount && parts[0] == aFirst && parts[1] == aSecond;
  };
  if (is("zone", "out", 3)) {
    mEvidence.zonesOut.push_back({ parts[2], aAtUs, std::nullopt });
    acknowledge("zone " + parts[2], "out");
  } else if (is("zone", "in", 3)) {
    acknowledge("zone " + parts[2], "in");
    for (auto& it : mEvidence.zonesOut) {
      if (it.zone == parts[2] && !it.untilUs) {
        it.untilUs = aAtUs;
      }
    }
  } else if (is("withdraw", "key", 3)) {
    mEvidence.withdrawals.push_back({ parts[2], aAtUs });
    if (parts.size() > 3) {
      acknowledge("key " + parts[2] + " " + parts[3], "withdrawn");
    }
  } else if (is("set", "rate", 6) && parts[4] == "burst") {
    mEvidence.rates[parts[2]].push_back({ aAtUs, std::stod(parts[3]), std::stod(parts[5]) });
    acknowledge("rate " + parts[2], rateText(std::stod(parts[3]), std::stod(parts[5])));
  } else if (is("create", "service", 3)) {
    acknowledge("service " + parts[2], "there");
  }
  return {};
}

void ScenarioRunner::acknowledge(const std::string& aObject, const std::string& aExpected)
{
  mAcknowledged[aObject] = aExpected;
}

// Asks the fleet for the settings that were accepted.
Result<void> ScenarioRunner::collectAcknowledged()
{
  std::map<std::string, std::string> found;
  for (const char* query : { "show accounts", "show zones", "show services" }) {
    BOOST_LEAF_AUTO(result, mFleet->command(query));
    if (result.exitStatus != 0) {
      return fail(HarnessError{ std::string(query) + " failed: " + result.output });
    }
    BOOST_LEAF_AUTO(envelope, fromJson<SettingsEnvelope>(result.output));
    for (const auto& it : envelope.result.accounts.value_or(std::vector<AccountShown>())) {
      found["rate " + it.name] = rateText(it.requestsPerSecond, it.burstRequests);
      for (const auto& key : it.keys) {
        found["key " + it.name + " " + key] = "there";
      }
    }
    for (const auto& it : envelope.result.zones.value_or(std::vector<ZoneShown>())) {
      found["zone " + it.name] = it.isOut ? "out" : "in";
    }
    for (const auto& it : envelope.result.services.value_or(std::vector<ServiceShown>())) {
      found["service " + it.name] = "there";
    }
  }
  mEvidence.acknowledged.clear();
  for (const auto& [object, expected] : mAcknowledged) {
    AcknowledgedSetting setting{ object, expected, std::nullopt };
    if (const auto it = found.find(object); it != found.end()) {
      setting.found = it->second;
    } else if (expected == "withdrawn") {
      setting.found = expected;
    }
    mEvidence.acknowledged.push_back(std::move(setting));
  }
  return {};
}

Result<void> ScenarioRunner::execute(const AccountStatement& aAccount)
{
  return createAccount(aAccount.name, aAccount.ratePerSecond, aAccount.burst);
}

Result<void> ScenarioRunner::createAccount(const std::string& aName, double aRate, double aBurst)
{
  std::ostringstream create;
  create << "create account " << aName << " rate " << aRate << " burst " << aBurst;
  for (const std::string& text : { create.str(), "create key " + aName + " main" }) {
    BOOST_LEAF_AUTO(result, mFleet->command(text));
    if (result.exitStatus != 0) {
      return fail(HarnessError{ "'" + text + "' exited with status " +
                                std::to_string(result.exitStatus) + ": " + result.output });
    }
    if (text != create.str()) {
      BOOST_LEAF_ASSIGN(mAccountKeys[aName], newAccountKey(result.output));
    }
  }
  acknowledge("rate " + aName, rateText(aRate, aBurst));
  acknowledge("key " + aName + " main", "there");
  mEvidence.rates[aName].push_back({ monotonicMicros(), aRate, aBurst });
  return mFleet->watchSecret(mAccountKeys[aName]);
}

std::vector<std::string> ScenarioRunner::entries(NodeId aVia, NodeId aExcept) const
{
  std::vector<std::string> out;
  for (const auto& it : mFleet->layout().nodes()) {
    const bool isWanted = aVia == kNoNode ? it.service.has_value() : it.id == aVia;
    if (isWanted && it.id != aExcept) {
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
  for (const auto& it : mFleetPlan.services) {
    stream.isKeyed = it.name == aLoad.service ? it.isKeyed : stream.isKeyed.value_or(true);
  }
  stream.keyCount = aLoad.keys;
  stream.firstKey = aLoad.firstKey;
  if (!aLoad.onlyKey.empty()) {
    stream.keyList = std::vector<std::string>{ aLoad.onlyKey };
  }
  stream.zipfExponent = aLoad.zipf;
  stream.postShare = aLoad.postPercent / 100;
  stream.ratePerSecond = aLoad.ratePerSecond;
  stream.isSteady = aLoad.isSteady;
  stream.bodyBytes = aLoad.bodyBytes;
  stream.responseBytes = aLoad.answerBytes;
  stream.hasIdempotencyKey = aLoad.hasIdempotencyKeys;
  stream.deadline = aLoad.deadline;
  if (aLoad.work) {
    stream.workMs = static_cast<double>(aLoad.work->count());
  }
  LoadPlan plan;
  plan.name = aLoad.name;
  plan.entries = entries(aLoad.via, kNoNode);
  plan.streams = { stream };
  plan.duration = aLoad.duration;
  plan.seed = hash64(aLoad.name, mSeed) >> 12U; // Exact in JSON.
  return mLoads.start(plan);
}

Result<void> ScenarioRunner::execute(const WaitStatement& aWait)
{
  return pauseFor(aWait.duration);
}

Result<void> ScenarioRunner::execute(const WaitOwnedStatement& aWait)
{
  std::size_t owned = 0;
  return pauseUntil("owners of all partitions of " + aWait.service, kOwnedTimeout, [&] {
    owned = orElse(
      [&]() -> Result<std::size_t> {
        BOOST_LEAF_AUTO(owners, mFleet->owners(aWait.service));
        return owners.size();
      },
      [](const ErrorInfo&) { return std::size_t(0); });
    return owned == mFleetPlan.partitions;
  });
}

Result<void> ScenarioRunner::execute(const WaitLoadsStatement&)
{
  return mLoads.wait();
}

Result<void> ScenarioRunner::execute(const WaitReadyStatement&)
{
  return mFleet->waitReady();
}

Result<void> ScenarioRunner::execute(const WaitConfigStatement&)
{
  if (!mLastAccepted) {
    return fail(HarnessError{ "no operators' command was accepted yet" });
  }
  BOOST_LEAF_CHECK(mFleet->waitRevision(mLastAccepted->revision));
  mEvidence.spreads.push_back(
    { mLastAccepted->text, mLastAccepted->acceptedUs, monotonicMicros() });
  return {};
}

const ServiceStatement* ScenarioRunner::keyedService() const
{
  const auto it = std::find_if(mFleetPlan.services.begin(), mFleetPlan.services.end(),
                               [](const ServiceStatement& aService) { return aService.isKeyed; });
  return it == mFleetPlan.services.end() ? nullptr : &*it;
}

Result<NodeId> ScenarioRunner::ownerOf(const std::string& aService, const std::string& aKey)
{
  const ServiceStatement* keyed = keyedService();
  if (aService.empty() && keyed == nullptr) {
    return fail(HarnessError{ "no service is keyed" });
  }
  const std::string service = aService.empty() ? keyed->name : aService;
  BOOST_LEAF_AUTO(owners, mFleet->owners(service));
  const auto it = owners.find(partitionOf(service, aKey, mFleetPlan.partitions));
  if (it == owners.end()) {
    return fail(HarnessError{ "key " + service + "/" + aKey + " has no owner" });
  }
  return it->second;
}

Result<std::vector<NodeId>> ScenarioRunner::resolve(const NodeReference& aReference)
{
  std::vector<NodeId> out;
  switch (aReference.kind) {
    case NodeReference::Kind::Node:
      out.push_back(aReference.node);
      break;
    case NodeReference::Kind::Leader: {
      BOOST_LEAF_AUTO(leader, mFleet->leader());
      out.push_back(leader);
      break;
    }
    case NodeReference::Kind::OwnerOf: {
      BOOST_LEAF_AUTO(owner, ownerOf(aReference.service, aReference.key));
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

Result<std::vector<std::pair<NodeId, NodeId>>> ScenarioRunner::pairs(const NodeReference& aFrom,
                                                                     const NodeReference& aTo)
{
  BOOST_LEAF_AUTO(sources, resolve(aFrom));
  BOOST_LEAF_AUTO(destinations, resolve(aTo));
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

// Up to kProbedKeys keys of a service in different partitions of a node; of all nodes if the node
// owns nothing, as a control member without a target does.
Result<std::vector<std::string>> ScenarioRunner::keysOf(const std::string& aService, NodeId aNode)
{
  BOOST_LEAF_AUTO(owners, mFleet->owners(aService));
  const bool ownsAny = std::any_of(owners.begin(), owners.end(),
                                   [&](const auto& aOwner) { return aOwner.second == aNode; });
  std::set<PartitionId> wanted;
  for (const auto& [partition, node] : owners) {
    if (!ownsAny || node == aNode) {
      wanted.insert(partition);
    }
  }
  const std::size_t count = std::min(wanted.size(), kProbedKeys);
  std::vector<std::string> out;
  for (unsigned n = 0; out.size() < count; ++n) {
    const std::string key = "probe" + std::to_string(n);
    if (wanted.erase(partitionOf(aService, key, mFleetPlan.partitions)) > 0) {
      out.push_back(key);
    }
  }
  return out;
}

Result<void> ScenarioRunner::beginLoss(const std::string& aDescription, NodeId aNode)
{
  const ServiceStatement* service = keyedService();
  if (service == nullptr) {
    return {};
  }
  if (mAccountKeys.count(kProbeAccount) == 0) {
    BOOST_LEAF_CHECK(createAccount(kProbeAccount, kProbeRate, kProbeRate));
  }
  BOOST_LEAF_AUTO(keys, keysOf(service->name, aNode));
  LoadPlan plan;
  plan.name = "probe-" + std::to_string(mEvidence.losses.size() + 1);
  plan.entries = entries(kNoNode, aNode);
  plan.duration = kProbeLead + mProbeDuration;
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
    return fail(HarnessError{ "no keys or no entry to probe after " + aDescription });
  }
  BOOST_LEAF_CHECK(mLoads.start(plan));
  BOOST_LEAF_CHECK(pauseFor(kProbeLead));
  mEvidence.losses.push_back({ monotonicMicros(), aDescription, plan.name });
  return {};
}

Result<void> ScenarioRunner::execute(const ProcessStatement& aProcess)
{
  using Action = ProcessStatement::Action;
  BOOST_LEAF_AUTO(nodes, resolve(aProcess.node));
  const bool isLoss = aProcess.action == Action::Kill || aProcess.action == Action::Freeze;
  for (const NodeId it : nodes) {
    if (isLoss && nodes.size() == 1) {
      BOOST_LEAF_CHECK(beginLoss(mStatement->text + " (node " + std::to_string(it) + ")", it));
    }
    if (aProcess.node.kind != NodeReference::Kind::Node) {
      mReport.note("  that is node " + std::to_string(it));
    }
    BOOST_LEAF_CHECK(act(aProcess, it));
  }
  return {};
}

Result<void> ScenarioRunner::act(const ProcessStatement& aProcess, NodeId aNode)
{
  using Action = ProcessStatement::Action;
  const auto signalBoth = [&](int aSignal) {
    mFleet->signalDaemon(aNode, aSignal);
    if (aProcess.node.isWholeVm) {
      mFleet->signalTarget(aNode, aSignal);
    }
    return Result<void>();
  };
  switch (aProcess.action) {
    case Action::Kill:
      return signalBoth(SIGKILL);
    case Action::Freeze:
      return signalBoth(SIGSTOP);
    case Action::Resume:
      return signalBoth(SIGCONT);
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
  BOOST_LEAF_AUTO(links, pairs(aCut.from, aCut.to));
  const bool isLoss = aCut.from.kind != NodeReference::Kind::All &&
                      aCut.to.kind == NodeReference::Kind::All && !links.empty();
  if (isLoss) {
    const NodeId node = links.front().first;
    mReport.note("  that cuts off node " + std::to_string(node));
    BOOST_LEAF_CHECK(beginLoss(mStatement->text + " (node " + std::to_string(node) + ")", node));
  }
  for (const auto& [from, to] : links) {
    BOOST_LEAF_CHECK(mFleet->cut(from, to));
    if (aCut.isBothWays) {
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
  BOOST_LEAF_AUTO(links, pairs(aSilence.from, aSilence.to));
  for (const auto& [from, to] : links) {
    BOOST_LEAF_CHECK(mFleet->silence(from, to));
  }
  return {};
}

Result<void> ScenarioRunner::execute(const ResetStatement& aReset)
{
  BOOST_LEAF_AUTO(links, pairs(aReset.from, aReset.to));
  for (const auto& [from, to] : links) {
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
      return mFleet->controlTarget(aTarget.node, slow.str());
    case Action::Cold:
      return mFleet->controlTarget(aTarget.node, "/cold");
    case Action::Drain:
      return mFleet->controlTarget(aTarget.node, "/drain");
    case Action::Restart:
      return mFleet->controlTarget(aTarget.node, "/restart");
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

Result<void> ScenarioRunner::collectEvidence()
{
  if (mIsEvidenceFresh) {
    return {};
  }
  BOOST_LEAF_CHECK(mLoads.wait());
  BOOST_LEAF_ASSIGN(mEvidence.calls, mLoads.records());
  mEvidence.events.clear();
  for (const auto& it : mFleet->layout().nodes()) {
    if (it.service) {
      BOOST_LEAF_AUTO(events, readJsonLines<TargetEvent>(mFolders.targetRecord(it.id)));
      std::move(events.begin(), events.end(), std::back_inserter(mEvidence.events));
    }
  }
  sortEvents(mEvidence.events);
  std::vector<std::string> secrets;
  for (const auto& [account, key] : mAccountKeys) {
    secrets.push_back(key);
  }
  mEvidence.secretsInFiles = countSecrets(mFolders.work + "/nodes", secrets) +
                             countSecrets(mFolders.work + "/targets", secrets);
  for (const auto& it : mEvidence.calls) {
    mEvidence.secretsInFiles += contains(secrets, it.message.value_or("")) ? 1 : 0;
  }
  mIsEvidenceFresh = true;
  return {};
}

Result<void> ScenarioRunner::execute(const ExpectStatement& aExpect)
{
  BOOST_LEAF_CHECK(collectEvidence());
  if (aExpect.measure == "lost_ack_count") {
    BOOST_LEAF_CHECK(collectAcknowledged());
  }
  const Figure figure = findMeasure(aExpect.measure)->compute(mEvidence, aExpect.arguments);
  Verdict verdict;
  verdict.line = mStatement->line;
  verdict.text = mStatement->text;
  verdict.value = figure.value;
  verdict.detail = figure.detail;
  verdict.passed = figure.value && holds(aExpect.comparison, *figure.value, aExpect.value);
  mReport.add(std::move(verdict));
  return {};
}

} // namespace camphorcleat::harness
