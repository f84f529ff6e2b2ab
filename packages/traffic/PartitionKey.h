// Identifies a partition of a service.

#ifndef CAMPHORCLEAT_TRAFFIC_PARTITIONKEY_H_
#define CAMPHORCLEAT_TRAFFIC_PARTITIONKEY_H_

#include <string>
#include <tuple>

#include "base/Ids.h"

namespace camphorcleat::traffic {

struct PartitionKey
{
  std::string service;
  PartitionId partition = 0;

  bool operator<(const PartitionKey& aOther) const
  {
    return std::tie(partition, service) < std::tie(aOther.partition, aOther.service);
  }
  bool operator==(const PartitionKey& aOther) const
  {
    return partition == aOther.partition && service == aOther.service;
  }
};

} // namespace camphorcleat::traffic

#endif // CAMPHORCLEAT_TRAFFIC_PARTITIONKEY_H_
