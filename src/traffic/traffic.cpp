#include "lovage/ports/engine_port.h"
#include "lovage/ports/peer_port.h"
#include "lovage/ports/service_port.h"
#include "lovage/ports/store_port.h"
