/* Models the removal of a finished job's keys by a leader that also reads the
 * job's key now and then and applies what it has read later. The removal may
 * fail, or be carried out without a response. The task of a job that has ended
 * may not start again. Each of these macros removes a guard:
 * FORGET_AND_OVERWRITE (the leader drops the job before its removal is confirmed
 * and writes over a progress record that it has not read), NO_KEY_CHECK (the
 * first progress record does not require the job's key). */

bool has_key = true;      /* the job's key exists */
bool has_record = false;  /* the job's progress record exists */
bool has_ended = false;
bool in_transit = false;  /* a removal that the store may carry out */

active proctype store() {
end:
  do
  :: atomic { in_transit ->
       in_transit = false;
       if
       :: has_key = false; has_record = false
       :: true /* failed */
       fi }
  od
}

active proctype leader() {
  bool is_known, is_started, has_read_key;
end:
  do
  /* Reads the key; applies what was read, perhaps after a removal. */
  :: has_read_key = has_key
  :: atomic { has_read_key && !is_known ->
       is_known = true;
       is_started = false;
       has_read_key = false }
  /* Writes the first progress record, then runs the task to its end. */
  :: atomic { is_known && !is_started ->
       if
#ifdef FORGET_AND_OVERWRITE
       :: has_key ->
#else
#ifdef NO_KEY_CHECK
       :: !has_record ->
#else
       :: has_key && !has_record ->
#endif
#endif
         assert(!has_ended);
         has_record = true;
         is_started = true;
         has_ended = true
       :: else ->
         if
         :: has_record -> is_started = true /* merged */
         :: else -> is_known = false /* the key is gone */
         fi
       fi }
  :: atomic { is_known && is_started && has_ended && !in_transit ->
       in_transit = true;
#ifdef FORGET_AND_OVERWRITE
       is_known = false
#endif
     }
  /* A response, or that of a repeated removal, confirms it. */
  :: atomic { is_known && is_started && !has_key -> is_known = false }
  od
}
