/* What the lease proxy shares with the registry of the other nodes' proxies. */
#ifndef AMBERPIN_PROXY_REGISTRY_H
#define AMBERPIN_PROXY_REGISTRY_H

#include "amberpin/election/lease_proxy.h"

/* Time has passed: a proxy whose key stands counts until now. */
void proxy_registry_refresh(struct amb_lease_proxy *proxy, amb_ms now);

#endif
