#include "amberpin/duty/intents.h"

#include <string.h>

struct amb_duty_intent *amb_duty_intent_table_find(const struct amb_duty_intent_table *table,
                                                   enum amb_duty_name duty, const char *id) {
    for (uint32_t i = 0; i < table->capacity; i++) {
        struct amb_duty_intent *intent = &table->entries[i];
        if (intent->record.id[0] && intent->record.duty == duty && !strcmp(intent->record.id, id))
            return intent;
    }
    return NULL;
}

struct amb_duty_intent *amb_duty_intent_table_add(struct amb_duty_intent_table *table,
                                                  enum amb_duty_name duty, const char *id) {
    for (uint32_t i = 0; i < table->capacity; i++) {
        struct amb_duty_intent *intent = &table->entries[i];
        if (intent->record.id[0]) continue;
        memset(intent, 0, sizeof *intent);
        strcpy(intent->record.id, id);
        intent->record.duty = duty;
        return intent;
    }
    table->overflowed = true;
    return NULL;
}

void amb_duty_intent_table_remove(struct amb_duty_intent *intent) {
    memset(intent, 0, sizeof *intent);
}

uint32_t amb_duty_intent_table_count_open(const struct amb_duty_intent_table *table,
                                          enum amb_duty_name duty) {
    uint32_t open = 0;
    for (uint32_t i = 0; i < table->capacity; i++) {
        const struct amb_duty_intent_record *record = &table->entries[i].record;
        open += record->id[0] && record->duty == duty && record->state != AMB_DUTY_INTENT_SETTLED;
    }
    return open;
}

bool amb_duty_intent_table_is_open(const struct amb_duty_intent_table *table, enum amb_duty_name duty,
                                   uint64_t fencing_token) {
    for (uint32_t i = 0; i < table->capacity; i++) {
        const struct amb_duty_intent *intent = &table->entries[i];
        const struct amb_duty_intent_record *record = &intent->record;
        bool removing = intent->phase == AMB_DUTY_PHASE_REMOVING;
        if (!record->id[0]) continue;
        if (duty == AMB_DUTY_CLEANUP ? removing : record->duty == duty && intent->phase && !removing)
            return true;
        if (record->duty == duty && record->state == AMB_DUTY_INTENT_SENT &&
            record->fencing_token == fencing_token)
            return true;
    }
    return false;
}

void amb_duty_intent_table_reset(struct amb_duty_intent_table *table, enum amb_duty_name duty) {
    for (uint32_t i = 0; i < table->capacity; i++) {
        struct amb_duty_intent *intent = &table->entries[i];
        bool removing = intent->phase == AMB_DUTY_PHASE_REMOVING;
        bool is_affected = duty == AMB_DUTY_CLEANUP ? removing : intent->record.duty == duty && !removing;
        if (!intent->record.id[0] || !is_affected) continue;
        intent->phase = AMB_DUTY_PHASE_IDLE;
        intent->call = 0;
        intent->retry_at = 0;
        intent->tries = intent->refusals = intent->unanswered = 0;
        intent->result = AMB_DUTY_RESULT_NONE;
    }
}
