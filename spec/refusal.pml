/* Models one job id: a caller that submits it up to three times, the next time
 * when an earlier submission was answered or the caller gave up waiting, at any
 * node; a store that carries out a write at any time after it was sent, or
 * never; nodes that store the job or refuse it; and the removal of the key of a
 * refusal, the guard. After a refusal was answered, neither that submission nor
 * an earlier one may have stored the job or store it later. Each of these macros
 * removes a protection: NO_GUARD (a refusal writes no guard), GUARD_WITHOUT_JOB
 * (the guard does not require that the job is absent), STORE_UNCONDITIONED (a
 * submission does not require the guard's revision), ADOPT_UNSEEN (a submission
 * goes on in spite of a guard that may be later than itself), REMOVE_EARLY (the
 * guard is removed while earlier submissions may be carried out). With
 * CLAIM_NO_RETURN the model claims that a refused job is never stored, which must
 * be wrong: a caller that comes back has to be served. */

#define ATTEMPTS 3

#define NONE 0
#define DONE 1
#define JOB_EXISTS 2
#define OTHER_GUARD 3

byte revision = 1;       /* of the store */
byte guard = 0;          /* revision of the guard; 0: it does not exist */
byte stored_by = 0;      /* submission that stored the job; 0: none */
byte refused_up_to = 0;  /* highest submission whose refusal was answered */
byte sent = 0;           /* submissions sent so far */

byte seen[4];            /* revision that the node had seen at the arrival */
bool ended[4];           /* the node does not pursue the submission any more */
bool in_transit[4];      /* a write of the submission may be carried out */
bool is_guard[4];        /* that write is the guard */
byte required[4];        /* revision of the guard that the write requires */
byte response[4];        /* response to the write */
byte named_guard[4];     /* revision of the guard that the response names */

inline carry_out(i) {
  if
  :: !is_guard[i] && stored_by != 0 -> response[i] = JOB_EXISTS
#ifdef STORE_UNCONDITIONED
  :: !is_guard[i] && stored_by == 0 ->
#else
  :: !is_guard[i] && stored_by == 0 && guard != required[i] ->
     response[i] = OTHER_GUARD; named_guard[i] = guard
  :: !is_guard[i] && stored_by == 0 && guard == required[i] ->
#endif
     stored_by = i; revision++; response[i] = DONE;
#ifdef CLAIM_NO_RETURN
     assert(refused_up_to == 0);
#endif
     assert(i > refused_up_to)
#ifdef GUARD_WITHOUT_JOB
  :: is_guard[i] && guard == required[i] ->
#else
  :: is_guard[i] && stored_by != 0 -> response[i] = JOB_EXISTS
  :: is_guard[i] && stored_by == 0 && guard == required[i] ->
#endif
     revision++; guard = revision; response[i] = DONE
  :: is_guard[i] && guard != required[i] && (stored_by == 0) ->
     response[i] = OTHER_GUARD; named_guard[i] = guard
#ifdef GUARD_WITHOUT_JOB
  :: is_guard[i] && guard != required[i] && (stored_by != 0) ->
     response[i] = OTHER_GUARD; named_guard[i] = guard
#endif
  fi
}

proctype submission(byte i) {
  byte known = 0;
  bool refuse = false;
  do
  :: atomic {
       if
       :: refuse = true
       :: known <= seen[i] -> refuse = false
       fi;
#ifdef NO_GUARD
       if
       :: refuse -> refused_up_to = i; assert(stored_by == 0 || stored_by > i);
          break
       :: else
       fi;
#endif
       is_guard[i] = refuse; required[i] = known; response[i] = NONE;
       in_transit[i] = true
     }
     if
     :: atomic { response[i] == DONE && !refuse -> break }
     :: atomic { response[i] == DONE && refuse ->
          refused_up_to = (i > refused_up_to -> i : refused_up_to);
          assert(stored_by == 0 || stored_by > i);
          break }
     :: atomic { response[i] == JOB_EXISTS -> break }
     :: atomic { response[i] == OTHER_GUARD ->
#ifdef ADOPT_UNSEEN
          seen[i] = revision;
#endif
          known = named_guard[i] }
     :: break /* no response in time, answered as unknown */
     fi
  od;
  ended[i] = true
}

active proctype store() {
  byte i;
end:
  do
  :: atomic {
       select (i : 1 .. ATTEMPTS);
       if
       :: in_transit[i] -> in_transit[i] = false; carry_out(i)
       :: in_transit[i] -> in_transit[i] = false /* lost */
       :: else
       fi
     }
  od
}

active proctype caller() {
end:
  do
  :: atomic { sent < ATTEMPTS ->
       sent++;
       if
       :: seen[sent] = revision
       :: seen[sent] = 0
       fi;
       run submission(sent) }
  od
}

active proctype remover() {
  byte i;
  bool may_remove;
end:
  do
  :: atomic { guard != 0 ->
       may_remove = true;
#ifndef REMOVE_EARLY
       /* The guard outlives the submissions that it was written against. */
       i = 1;
       do
       :: i <= sent -> may_remove = may_remove && ended[i] && !in_transit[i]; i++
       :: else -> break
       od;
#endif
       if
       :: may_remove -> revision++; guard = 0
       :: else
       fi }
  od
}
