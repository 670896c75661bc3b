/* Invariant I10: a settings revision that every member has confirmed is never
 * replaced by an older one, through late relays, restarts and store outages.
 * Code: section 9 of docs/design.md; src/control accepts revisions, src/settings
 * holds them.
 * -DNO_NEWER: a member accepts any revision that is offered.
 * -DNO_PEERS: a restarted member serves before it has asked a peer or the
 * store. */
#define MEMBERS 3
#define LAST 3

byte stored = 1;
bool store_up = true;
byte revision[MEMBERS] = 1;
bool serving[MEMBERS] = true;
byte confirmed = 1;      /* every member has confirmed this one */
byte offers[MEMBERS];    /* a relayed revision under way; 0: none */

inline Check() {
  d_step {
    assert(!serving[0] || revision[0] >= confirmed);
    assert(!serving[1] || revision[1] >= confirmed);
    assert(!serving[2] || revision[2] >= confirmed)
  }
}

inline Accept(m, r) {
  if
#ifdef NO_NEWER
  :: true -> revision[m] = r
#else
  :: r > revision[m] -> revision[m] = r
  :: else
#endif
  fi
}

proctype Member(byte m) {
  byte peer;
  byte late = 0;
end:
  do
  :: atomic { store_up && serving[m] && revision[m] < stored ->
       Accept(m, stored); Check() }
  /* Relay to a neighbour; the message arrives at any later time, or never. */
  :: atomic { serving[m] && offers[(m + 1) % MEMBERS] == 0 ->
       offers[(m + 1) % MEMBERS] = revision[m] }
  :: atomic { offers[m] != 0 ->
       if
       :: serving[m] -> Accept(m, offers[m])
       :: true  /* lost */
       fi;
       if :: offers[m] = 0 :: true /* a duplicate stays */ fi; Check() }
  /* Restart without a disk. */
  :: atomic { serving[m] -> revision[m] = 0; serving[m] = false }
#ifdef NO_PEERS
  :: atomic { !serving[m] -> revision[m] = 1; serving[m] = true; Check() }
#endif
  :: atomic { !serving[m] && store_up ->
       revision[m] = stored; serving[m] = true; Check() }
  :: atomic { !serving[m] ->
       if :: peer = (m + 1) % MEMBERS :: peer = (m + 2) % MEMBERS fi;
       if
       :: serving[peer] -> revision[m] = revision[peer]; serving[m] = true
       :: else
       fi; Check() }
  od
}

proctype Operator() {
end:
  do
  :: atomic { store_up && stored < LAST -> stored++ }
  :: atomic { serving[0] && serving[1] && serving[2] &&
              revision[0] > confirmed && revision[1] > confirmed &&
              revision[2] > confirmed -> confirmed++ }
  :: store_up = !store_up
  od
}

init { atomic { run Member(0); run Member(1); run Member(2); run Operator() } }
