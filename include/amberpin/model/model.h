/* Includes all domain types of the scheduler, for files that need most of them. */
#ifndef AMBERPIN_MODEL_H
#define AMBERPIN_MODEL_H

#include "amberpin/base/util.h"
#include "amberpin/model/agent_messages.h"
#include "amberpin/model/catalog.h"
#include "amberpin/model/failure_evidence.h"
#include "amberpin/model/job.h"
#include "amberpin/model/job_spec.h"
#include "amberpin/model/limits.h"
#include "amberpin/model/machine.h"
#include "amberpin/model/name_list.h"
#include "amberpin/model/placement_block.h"
#include "amberpin/model/recent_names.h"
#include "amberpin/model/resources.h"
#include "amberpin/model/task.h"
#include "amberpin/model/team.h"

#endif
