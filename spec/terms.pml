/* One task, two runners, a leader and its successor. The successor may be
 * elected at any moment, while the predecessor is paused, cut off or goes on;
 * runner 1 may be out of the successor's reach. A runner refuses lower fencing
 * tokens. Guards that can be removed: NO_FENCE (runners take any token),
 * NO_RECORD (a first start is given before the record is kept), NO_KEEP (an end
 * is acknowledged before it is kept). */

byte fence = 0;          /* revision of the shard's key */
bool record = false;     /* the task may have been started */
bool done = false;       /* its end is kept */
byte high[2];            /* highest token that a runner has seen */
bool running[2];
bool ended[2];           /* a good end that is not acknowledged */
bool acknowledged = false;
bool stopped = false;    /* the predecessor gives no more orders */
bool cut = false;        /* the successor does not reach runner 1 */

inline deliver_start(r, token) {
  atomic {
    if
#ifndef NO_FENCE
    :: high[r] > token -> goto over
#endif
    :: else ->
      if
      :: high[r] < token -> high[r] = token
      :: else
      fi;
      running[r] = true;
      assert(!(running[0] && running[1]));
      assert(!acknowledged)
    fi
  }
}

inline keep_record(token) {
  atomic {
    if
    :: fence != token -> goto over
    :: else -> record = true
    fi
  }
}

inline keep_end(r, token) {
#ifdef NO_KEEP
  atomic { ended[r] = false; acknowledged = true };
#endif
  atomic {
    if
    :: fence != token -> goto over
    :: else -> done = true
    fi
  };
  atomic { ended[r] = false; acknowledged = true }
}

proctype predecessor() {
  byte token, r;
  atomic { fence++; token = fence };
  high[0] = token;
  high[1] = token;
  if
  :: r = 0
  :: r = 1
  fi;
#ifndef NO_RECORD
  keep_record(token);
#endif
  if
  :: deliver_start(r, token)
  :: goto over /* its grace is over before the order is sent */
  fi;
#ifdef NO_RECORD
  keep_record(token);
#endif
  if
  :: ended[r] -> keep_end(r, token)
  :: true
  fi;
over:
  stopped = true
}

proctype successor() {
  byte token, r;
  bool may_run;
  atomic { fence++; token = fence };
  if
  :: done -> goto over
  :: else
  fi;
  may_run = record;
  atomic { high[0] = token };
  if
  :: !cut -> high[1] = token
  :: cut && may_run -> stopped && !running[1] /* its lease has run out */
  :: cut && !may_run
  fi;
  do
  :: ended[0] -> keep_end(0, token); goto over
  :: !cut && ended[1] -> keep_end(1, token); goto over
  :: !running[0] && !ended[0] && (cut || (!running[1] && !ended[1])) -> break
  od;
  if
  :: r = 0
  :: !cut -> r = 1
  fi;
  keep_record(token);
  deliver_start(r, token);
over:
  skip
}

active proctype runner_life() {
  byte r;
end:
  do
  :: running[0] -> atomic { running[0] = false; ended[0] = true }
  :: running[1] -> atomic { running[1] = false; ended[1] = true }
  /* A lease that nobody extends runs out. */
  :: stopped && running[1] && cut -> running[1] = false
  od
}

init {
  atomic {
    if
    :: cut = false
    :: cut = true
    fi;
    run predecessor();
  };
  /* The successor is elected at any moment after the predecessor. */
  fence > 0;
  run successor()
}
