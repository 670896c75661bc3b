/* Models one job id: two copies of a submission, which the store may carry out
 * at any time after they were sent, or never; a cancel; a leader that reads the
 * job's key and the key of the cancel request at different times; and the
 * removal of a cancel request whose job has not come. No task may start after
 * the cancel was answered with 410. Each of these macros removes a guard:
 * ANSWER_WITHOUT_REQUEST (a cancel of an absent job stores no request),
 * ACCEPT_UNCONDITIONED (a submission does not require that there is no request),
 * REMOVE_EARLY (a request is removed while a submission may be carried out). */

#define ABSENT 0
#define ACCEPTED 1
#define CANCELLED 2 /* accepted as cancelled, never runs */

byte job = ABSENT;      /* the job's key */
bool request;           /* the key of the cancel request exists */
byte sent = 0;          /* copies of the submission sent so far */
byte in_transit = 0;    /* copies that may still be carried out */
bool answered_absent;   /* the cancel was answered with 410 */

active proctype submitter() {
end:
  do
  :: atomic { sent < 2 -> sent++; in_transit++ }
  od
}

active proctype store() {
end:
  do
  :: atomic { in_transit > 0 ->
       in_transit--;
       if
       :: job != ABSENT
#ifdef ACCEPT_UNCONDITIONED
       :: job == ABSENT -> job = ACCEPTED
#else
       :: job == ABSENT && !request -> job = ACCEPTED
       :: job == ABSENT && request -> job = CANCELLED
#endif
       :: true /* lost */
       fi }
  od
}

active proctype canceller() {
  atomic { job == ABSENT ->
#ifndef ANSWER_WITHOUT_REQUEST
    request = true;
#endif
    answered_absent = true
  }
}

active proctype leader() {
  bool has_read_request;
end:
  do
  :: atomic { request -> has_read_request = true }
  :: atomic { job == ACCEPTED && !has_read_request -> assert(!answered_absent) }
  od
}

active proctype remover() {
end:
  do
#ifdef REMOVE_EARLY
  :: atomic { request && job == ABSENT -> request = false }
#else
  /* After the retention time, no copy can be carried out any more. */
  :: atomic { request && job == ABSENT && sent == 2 && in_transit == 0 ->
       request = false }
#endif
  od
}
