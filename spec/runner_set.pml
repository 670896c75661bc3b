/* Models one task that a leader has started on a runner, and the two leaders
 * after it. A leader knows the runner only from the stored set of runners. It
 * may be deposed at any time, also while it still loads the jobs. The macro
 * DROP_UNLISTED removes a guard: a leader removes the runner from the set
 * before the runner has listed its runs to it. */

byte fence = 1;            /* latest token: revision of the leader's key in the store */
bool in_set = true;        /* the stored set of runners has the runner */
bool end_recorded = false; /* the end of the task is in the store */
bool running = true;       /* the task is running on the runner */
bool ended = false;        /* the run succeeded; the end is unacknowledged */

proctype successor() {
  byte token;
  bool known, listed;
  atomic { fence++; token = fence; known = in_set; listed = false };
  do
  :: atomic { known && !listed -> listed = true }
  :: atomic { listed && ended && fence == token ->
       end_recorded = true; ended = false }
#ifdef DROP_UNLISTED
  :: atomic { known && fence == token -> in_set = false; known = false }
#else
  :: atomic { known && listed && !running && !ended && fence == token ->
       in_set = false; known = false }
#endif
  :: end_recorded -> break
  /* Starts the task again. */
  :: atomic { (!known || (listed && !running && !ended)) && !end_recorded &&
       fence == token -> assert(!running && !ended); break }
  :: fence != token -> break
  od
}

active proctype runner_events() {
end:
  do
  :: atomic { running -> running = false; ended = true }
  /* The lease of the runner expires. */
  :: running -> running = false
  od
}

init {
  run successor();
  fence > 1;
  run successor()
}
