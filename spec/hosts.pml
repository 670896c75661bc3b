/* Invariants I1 (available hosts never fall below the floor through planned
 * stops) and I2 (a host is in exactly one pool).
 * Code: src/maintenance/ledger_transitions.cc, host_transitions.cc.
 * Two planners drain hosts of pool A and return them or move them to pool B.
 * Each may pause between its read and its write for any time; answers get lost
 * and are resolved by the change id.
 * -DNO_VERSION: the ledger is written without comparing its version.
 * -DNO_ORDER: a move lists the host in its new pool before it has left the
 * ledger of the old one. */
#define HOSTS 3
#define FLOOR 1
#define WRITES 9

byte version = 1;          /* ledger of pool A */
bool unavailable[HOSTS];
bool listed[HOSTS] = true; /* the host counts in pool A */
byte changed_by = 9;       /* change id */
bool listed_b[HOSTS];      /* ledger of pool B */
byte host_epoch[HOSTS] = 1;
bool idle[HOSTS];         /* the host serves nobody */
bool in_b[HOSTS];          /* the host record's pool */

inline Check() {
  d_step {
    assert((listed[0] && !idle[0]) + (listed[1] && !idle[1]) +
           (listed[2] && !idle[2]) >= FLOOR);
    assert(!(listed[0] && listed_b[0]) && !(listed[1] && listed_b[1]) &&
           !(listed[2] && listed_b[2]))
  }
}

proctype Planner(byte me; byte first) {
  byte seen, h, n, e, available;
  bool won;
  h = first;
end:
  do
  :: version < WRITES ->
       /* Read the ledger and decide. */
       atomic {
         seen = version; available = 0; n = 0;
         do
         :: n < HOSTS ->
              if
              :: listed[n] && !unavailable[n] -> available++
              :: else
              fi; n++
         :: else -> break
         od }
       if
       :: available > FLOOR && listed[h] && !unavailable[h] -> skip
       :: else -> h = (h + 1) % HOSTS; goto next
       fi;
       /* Ask for the drain. */
       atomic {
         won = false;
         if
#ifdef NO_VERSION
         :: true ->
#else
         :: version == seen ->
#endif
              unavailable[h] = true; version++; changed_by = me; won = true;
              /* The answer is lost: read back the change id. */
              if :: won = (changed_by == me) :: true fi
         :: else
         fi }
       if
       :: !won -> goto next
       :: else
       fi;
       atomic { e = host_epoch[h]; idle[h] = true; host_epoch[h]++; Check() };
       if
       :: /* Move: the host record decides, then both ledgers follow. */
          atomic {
            if
#ifdef NO_ORDER
            :: true -> listed_b[h] = true; in_b[h] = true; Check()
#else
            :: idle[h] && host_epoch[h] == e + 1 ->
                 in_b[h] = true; host_epoch[h]++
            :: else -> goto next
#endif
            fi };
          atomic { listed[h] = false; unavailable[h] = false; version++ };
          atomic { listed_b[h] = in_b[h]; Check() }
       :: /* Maintenance ends and the host returns. */
          atomic { idle[h] = false; host_epoch[h]++ };
          atomic { unavailable[h] = false; version++; changed_by = me }
       fi;
       h = first;
next:  skip
  od
}

init { atomic { run Planner(1, 0); run Planner(2, 1) } }
