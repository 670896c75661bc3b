/* Models one task, two runners, a leader (the predecessor) and its successor.
 * The successor may be elected at any time, while the predecessor is paused,
 * partitioned or still active; it may be unable to reach runner 1. Runners
 * reject lower fencing tokens. Each of these macros removes a guard: NO_FENCE
 * (runners accept any token), NO_RECORD (the predecessor sends its start order
 * before it stores the start), NO_KEEP (a leader acknowledges the task's end before
 * it stores the end). */

byte fence = 0;               /* latest token: revision of the leader's key in the store */
bool start_recorded = false;  /* the start is in the store: the task may have started */
bool end_recorded = false;    /* the end of the task is in the store */
byte highest_token[2];        /* highest token that each runner has accepted */
bool running[2];              /* each runner: the task is running on it */
bool ended[2];                /* each runner: its run succeeded; the end is unacknowledged */
bool acknowledged = false;    /* a leader has acknowledged the end of the task */
bool stopped = false;         /* the predecessor sends no more orders */
bool partitioned = false;     /* the successor cannot reach runner 1 */

inline deliver_start(r, token) {
  atomic {
    if
#ifndef NO_FENCE
    :: highest_token[r] > token -> goto finish
#endif
    :: else ->
      if
      :: highest_token[r] < token -> highest_token[r] = token
      :: else
      fi;
      running[r] = true;
      assert(!(running[0] && running[1]));
      assert(!acknowledged)
    fi
  }
}

inline store_start(token) {
  atomic {
    if
    :: fence != token -> goto finish
    :: else -> start_recorded = true
    fi
  }
}

inline store_end(r, token) {
#ifdef NO_KEEP
  atomic { ended[r] = false; acknowledged = true };
#endif
  atomic {
    if
    :: fence != token -> goto finish
    :: else -> end_recorded = true
    fi
  };
  atomic { ended[r] = false; acknowledged = true }
}

proctype predecessor() {
  byte token, r;
  atomic { fence++; token = fence };
  highest_token[0] = token;
  highest_token[1] = token;
  if
  :: r = 0
  :: r = 1
  fi;
#ifndef NO_RECORD
  store_start(token);
#endif
  if
  :: deliver_start(r, token)
  :: goto finish /* the grace period of the leader expires before it sends the order */
  fi;
#ifdef NO_RECORD
  store_start(token);
#endif
  if
  :: ended[r] -> store_end(r, token)
  :: true
  fi;
finish:
  stopped = true
}

proctype successor() {
  byte token, r;
  bool may_be_running;
  atomic { fence++; token = fence };
  if
  :: end_recorded -> goto finish
  :: else
  fi;
  may_be_running = start_recorded;
  atomic { highest_token[0] = token };
  if
  :: !partitioned -> highest_token[1] = token
  :: partitioned && may_be_running -> stopped && !running[1] /* the lease of runner 1 has expired */
  :: partitioned && !may_be_running
  fi;
  do
  :: ended[0] -> store_end(0, token); goto finish
  :: !partitioned && ended[1] -> store_end(1, token); goto finish
  :: !running[0] && !ended[0] && (partitioned || (!running[1] && !ended[1])) -> break
  od;
  if
  :: r = 0
  :: !partitioned -> r = 1
  fi;
  store_start(token);
  deliver_start(r, token);
finish:
  skip
}

active proctype runner_events() {
  byte r;
end:
  do
  :: running[0] -> atomic { running[0] = false; ended[0] = true }
  :: running[1] -> atomic { running[1] = false; ended[1] = true }
  /* The lease of runner 1 expires, because no leader renews it. */
  :: stopped && running[1] && partitioned -> running[1] = false
  od
}

init {
  atomic {
    if
    :: partitioned = false
    :: partitioned = true
    fi;
    run predecessor();
  };
  /* The successor may be elected at any time after the predecessor. */
  fence > 0;
  run successor()
}
