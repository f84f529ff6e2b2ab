// Checks the statements in order, each against the declarations before it.

#include "harness/ScenarioCheck.h"

#include <set>

#include "harness/Measures.h"

namespace camphorcleat::harness {

namespace {

// Each node needs two processes and, if the fleet is proxied, a link to each other node.
constexpr unsigned kMaxNodes = 30;

// Each overload returns the error of a statement, or an empty text.
class StatementChecker
{
public:
  std::string operator()(const FleetStatement& aFleet)
  {
    if (mHasFleet) {
      return "a scenario declares exactly one fleet";
    }
    mHasFleet = true;
    mFleet = aFleet;
    mNodeCount = aFleet.nodes + (aFleet.hasDedicatedControl ? aFleet.control : 0);
    if (aFleet.nodes == 0 || mNodeCount > kMaxNodes) {
      return "a fleet needs 1 to " + std::to_string(kMaxNodes) + " nodes, control included";
    }
    if (aFleet.zones == 0 || aFleet.zones > aFleet.nodes) {
      return "a fleet needs at least one zone, and at least one node in each";
    }
    if (aFleet.control == 0 || (!aFleet.hasDedicatedControl && aFleet.control > aFleet.nodes)) {
      return "control needs at least one member and, without apart, not more members than nodes";
    }
    for (const auto& it : aFleet.services) {
      if (std::string error = (*this)(it); !error.empty()) {
        return error;
      }
    }
    return {};
  }

  std::string operator()(const ServiceStatement& aService)
  {
    if (!mHasFleet || mIsStarted) {
      return "a service must be declared after fleet and before start";
    }
    if (!mServices.insert(aService.name).second) {
      return "service " + aService.name + " is declared twice";
    }
    mServiceNodes += aService.nodes;
    if (mServiceNodes > mFleet.nodes) {
      return "the services have more nodes than the fleet";
    }
    return {};
  }

  std::string operator()(const StartStatement&)
  {
    if (!mHasFleet || mIsStarted || mServices.empty()) {
      return "start comes once, after fleet and at least one service";
    }
    mIsStarted = true;
    return {};
  }

  std::string operator()(const AccountStatement& aAccount)
  {
    if (!mAccounts.insert(aAccount.name).second) {
      return "account " + aAccount.name + " is declared twice";
    }
    if (aAccount.ratePerSecond <= 0 || aAccount.burst < 1) {
      return "an account needs a rate above 0 and a burst of at least 1";
    }
    return requireStarted();
  }

  std::string operator()(const LoadStatement& aLoad)
  {
    if (!mLoads.insert(aLoad.name).second) {
      return "load " + aLoad.name + " is declared twice";
    }
    if (mServices.count(aLoad.service) == 0) {
      return "unknown service '" + aLoad.service + "'";
    }
    if (mAccounts.count(aLoad.account) == 0) {
      return "unknown account '" + aLoad.account + "'";
    }
    if (aLoad.ratePerSecond <= 0 || aLoad.duration.count() <= 0 || aLoad.keyCount == 0) {
      return "a load needs account, service, rate above 0, keys above 0 and for DURATION";
    }
    return aLoad.via == kNoNode ? requireStarted() : requireNode(aLoad.via);
  }

  std::string operator()(const WaitOwnedStatement& aWait)
  {
    return mServices.count(aWait.service) > 0 ? requireStarted()
                                              : "unknown service '" + aWait.service + "'";
  }

  std::string operator()(const ProcessStatement& aProcess)
  {
    if (aProcess.hasEmptyDisk && aProcess.action != ProcessStatement::Action::Restart) {
      return "'with empty disk' goes with restart only";
    }
    return requireReference(aProcess.node);
  }

  std::string operator()(const CutStatement& aCut) { return requireProxied(aCut.from, aCut.to); }
  std::string operator()(const SilenceStatement& aSilence)
  {
    return requireProxied(aSilence.from, aSilence.to);
  }
  std::string operator()(const ResetStatement& aReset)
  {
    return requireProxied(aReset.from, aReset.to);
  }

  std::string operator()(const DelayStatement&)
  {
    return mFleet.isProxied ? requireStarted() : "the fleet isn't proxied";
  }

  std::string operator()(const TargetStatement& aTarget)
  {
    if (aTarget.node == kNoNode || aTarget.node > mFleet.nodes) {
      return "node " + std::to_string(aTarget.node) + " has no target";
    }
    return requireStarted();
  }

  std::string operator()(const ExpectStatement& aExpect)
  {
    const Measure* measure = findMeasure(aExpect.measure);
    if (measure == nullptr) {
      return "unknown measure '" + aExpect.measure + "'";
    }
    if (aExpect.hasUnit && measure->unit != MeasureUnit::Millis) {
      return aExpect.measure + " has no unit";
    }
    return requireStarted();
  }

  template<class Other>
  std::string operator()(const Other&)
  {
    return requireStarted();
  }

private:
  std::string requireStarted() const { return mIsStarted ? "" : "the fleet isn't started yet"; }

  std::string requireNode(NodeId aNode) const
  {
    return aNode == kNoNode || aNode > mNodeCount ? "the fleet has no node " + std::to_string(aNode)
                                                  : requireStarted();
  }

  std::string requireReference(const NodeReference& aReference) const
  {
    return aReference.kind == NodeReference::Kind::Node ? requireNode(aReference.node)
                                                        : requireStarted();
  }

  std::string requireProxied(const NodeReference& aFrom, const NodeReference& aTo) const
  {
    if (!mFleet.isProxied) {
      return "the fleet isn't proxied";
    }
    const std::string error = requireReference(aFrom);
    return error.empty() ? requireReference(aTo) : error;
  }

  bool mHasFleet = false;
  bool mIsStarted = false;
  FleetStatement mFleet;
  unsigned mNodeCount = 0;
  unsigned mServiceNodes = 0;
  std::set<std::string> mServices;
  std::set<std::string> mAccounts;
  std::set<std::string> mLoads;
};

} // namespace

std::vector<ScenarioDiagnostic> checkScenario(const std::string& aFile, const Scenario& aScenario)
{
  StatementChecker checker;
  std::vector<ScenarioDiagnostic> out;
  for (const auto& it : aScenario) {
    const std::string error = std::visit(checker, it.body);
    if (!error.empty()) {
      out.push_back({ aFile, it.line, 1, error });
    }
  }
  return out;
}

} // namespace camphorcleat::harness
