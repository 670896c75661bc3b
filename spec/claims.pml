/* Invariant I7: a request under one identifier is dispatched at most once.
 * Code: src/requests/claim_table.cc, claim_hand_over.cc, roster_transitions.cc.
 * Two entries send the same request, each with retries, to whatever control
 * counts itself as the primary. The roster loses its primary twice:
 * epoch 1 has copies 0 and 1, epoch 2 copies 1 and 2, epoch 3 copies 2 and 3.
 * -DNO_EPOCH: the second copy accepts claims of an older roster.
 * -DNO_HAND_OVER: epoch 3 does not wait for the hand-over of epoch 2. */
byte roster = 1;         /* the store record */
byte seen[4] = 1;        /* roster epoch known to each control */
bool has[4];             /* the claim is recorded there */
bool acknowledged[4];    /* hand-over of epoch 2 */
byte runs = 0;

#define PRIMARY(e) ((e) - 1)
#define SECOND(e) (e)

proctype Entry() {
  byte p, s, e, tries = 0;
  bool fresh;
  do
  :: tries < 2 ->
       tries++; fresh = false;
       if :: p = 0 :: p = 1 :: p = 2 fi;
       /* The control begins the claim if it is the primary in its roster. */
       atomic {
         e = seen[p];
         if
         :: PRIMARY(e) == p && !has[p] -> has[p] = true; s = SECOND(e)
         :: else -> goto again
         fi };
       /* The second copy records it, and its answer may be lost. */
       atomic {
         if
#ifdef NO_EPOCH
         :: !has[s] -> has[s] = true; fresh = true
#else
         :: seen[s] == e && !has[s] -> has[s] = true; fresh = true
         :: seen[s] != e -> has[p] = false
#endif
         :: has[s] -> skip
         fi;
         if :: true :: fresh = false fi };
       if
       :: fresh -> atomic { runs++; assert(runs <= 1) }
       :: else
       fi;
again: skip
  :: else -> break
  od
}

proctype Control(byte m) {
end:
  do
  :: atomic { seen[m] < roster -> seen[m]++ }
  /* Under epoch 2, copy 1 hands its claims to copy 2. */
  :: atomic { seen[m] == 2 && !acknowledged[m] && m == 1 && seen[2] == 2 ->
       has[2] = has[2] || has[1]; acknowledged[m] = true }
  :: atomic { seen[m] == 2 && !acknowledged[m] && m != 1 ->
       acknowledged[m] = true }
  od
}

proctype Roster() {
  atomic { roster == 1 -> roster = 2 };
#ifdef NO_HAND_OVER
  atomic { roster = 3 }
#else
  atomic { acknowledged[1] && acknowledged[2] && acknowledged[3] -> roster = 3 }
#endif
}

init {
  atomic {
    run Entry(); run Entry(); run Roster();
    run Control(0); run Control(1); run Control(2); run Control(3)
  }
}
