// Encodes responses to operators' requests as JSON.

#include "daemon/OperatorJson.h"

#include <QCborMap>

namespace camphorcleat::daemon {

std::uint64_t countOwned(const ViewState& aState, NodeId aNode)
{
  std::uint64_t n = 0;
  for (const auto& service : aState.model->grantedServices()) {
    if (service == fleet::kAccountService) {
      continue;
    }
    for (const auto& grant : aState.model->grants(service)) {
      n += grant.owner == aNode && grant.incarnation == aState.incarnation ? 1 : 0;
    }
  }
  return n;
}

std::string statusJson(const NodeStatusView& aNode, const std::optional<ControlStatus>& aControl)
{
  QCborMap out = toCborValue(aNode).toMap();
  if (!aControl) {
    out.insert(QLatin1String("role"), QLatin1String("none"));
    return writeJson(out);
  }
  const QCborMap control = toCborValue(*aControl).toMap();
  for (auto it = control.begin(); it != control.end(); ++it) {
    out.insert(it.key(), it.value());
  }
  return writeJson(out);
}

std::string refusalJson(ErrorCode aCode, const std::string& aMessage, Revision aRevision)
{
  return responseJson({ aCode, aMessage, aRevision }, QCborValue());
}

std::string responseJson(const wire::CommandResult& aCommandResult, const QCborValue& aResult)
{
  QCborMap out = toCborValue(aCommandResult).toMap();
  if (!aResult.isUndefined()) {
    out.insert(QLatin1String("result"), aResult);
  }
  return writeJson(out);
}

} // namespace camphorcleat::daemon
