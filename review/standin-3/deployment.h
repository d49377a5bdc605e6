// The small deployment that the scripts of this review play: five entry hosts
// in four zones, a service divided by key and one for orders, as in the site
// slad-gw (machines, zones, servers, limits and bounds).
#ifndef REVIEW_STANDIN_3_DEPLOYMENT_H
#define REVIEW_STANDIN_3_DEPLOYMENT_H

#include "world.h"

namespace world {

struct Deployment {
  Deployment(const std::string &Folder, Record &Out);
  /// Publishes the config as the operator.
  void publish();
  /// Starts the hosts and waits until all are ready; false after 20 s.
  bool start();
  void stop();
  std::vector<Server *> serversOf(const std::string &Service);

  std::string m_Net;
  std::unique_ptr<Store> m_Store;
  std::vector<std::unique_ptr<Server>> m_Servers;
  std::vector<std::unique_ptr<Host>> m_Hosts;
  Record &m_Record;
  int m_Version = 1;
};

} // namespace world

#endif
