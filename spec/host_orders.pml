/* Models a maintenance wave of two hosts, of which one may be down at once, and
 * two controllers, one after the other. An order may get no response and be
 * carried out at any later time. Hosts reject lower fencing tokens; the store
 * names an order before it is sent. Each of these macros removes a guard:
 * FORGET_UNANSWERED (a host with an unanswered order does not count as down),
 * NO_ORDER_RECORD (the second controller does not know of the orders of the
 * first one), DROP_RESTARTED (the second controller takes a host's new runner
 * for a proof that its order was carried out; a host that crashes has a new
 * runner too). */

byte fence = 0;         /* token of the newest controller */
byte down = 0;          /* number of hosts that are down */
bool is_down[2];        /* the host is down for maintenance */
bool is_maintained[2];  /* the maintenance of the host has begun */
bool is_restarted[2];   /* the host has another runner than its order names */
bool recorded[2];       /* the store names an order to the host */
bool progress[2];       /* the wave's progress in the store names the host */
byte in_transit[2];     /* token of an order that may be carried out; 0: none */
byte highest_token[2];  /* highest token that the host has accepted */

inline carry_out(h, order_token) {
  if
  :: order_token >= highest_token[h] ->
    highest_token[h] = order_token;
    if
    :: !is_maintained[h] ->
      is_maintained[h] = true;
      is_down[h] = true;
      down++;
      assert(down <= 1)
    :: else
    fi
  :: else
  fi
}

proctype controller() {
  byte token, h;
  bool open[2];
  atomic {
    fence++;
    token = fence;
#ifndef NO_ORDER_RECORD
#ifdef DROP_RESTARTED
    open[0] = recorded[0] && !is_restarted[0];
    open[1] = recorded[1] && !is_restarted[1];
#else
    open[0] = recorded[0] && !progress[0];
    open[1] = recorded[1] && !progress[1];
#endif
#endif
  };
  /* Hosts that an earlier controller is known to have taken down are up. */
  (!is_down[0] || open[0]) && (!is_down[1] || open[1]);
  do
  :: fence != token -> break
  :: is_maintained[0] && is_maintained[1] -> break
  :: if :: h = 0 :: h = 1 fi;
    if
    /* Takes a further host down. */
    :: atomic { !open[0] && !open[1] && !is_maintained[h] &&
         fence == token -> recorded[h] = true; open[h] = true };
      atomic { in_transit[h] == 0 -> in_transit[h] = token };
#ifdef FORGET_UNANSWERED
      open[h] = false
#endif
    /* Repeats an order without a response; the host service accepts it. */
    :: atomic { open[h] && fence == token ->
         carry_out(h, token);
         open[h] = false;
         progress[h] = true };
      atomic { if :: fence == token -> recorded[h] = false :: else fi };
      !is_down[h]
    :: else
    fi
  od
}

active proctype host_service() {
end:
  do
  :: atomic { in_transit[0] > 0 -> carry_out(0, in_transit[0]); in_transit[0] = 0 }
  :: atomic { in_transit[1] > 0 -> carry_out(1, in_transit[1]); in_transit[1] = 0 }
  :: atomic { is_down[0] -> is_down[0] = false; is_restarted[0] = true; down-- }
  :: atomic { is_down[1] -> is_down[1] = false; is_restarted[1] = true; down-- }
  /* A host crashes. */
  :: atomic { !is_down[0] && !is_restarted[0] -> is_restarted[0] = true }
  :: atomic { !is_down[1] && !is_restarted[1] -> is_restarted[1] = true }
  od
}

init {
  run controller();
  fence > 0;
  run controller()
}
