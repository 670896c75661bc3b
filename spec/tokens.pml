/* Invariant I4: the holders of a team never have more tokens than its limit.
 * Code: src/quota/holder_account.cc, token_recovery.cc, token_transitions.cc.
 * The first holder lends to the second and gives back to the record and the
 * second takes from it and may crash; replies are lost, duplicated or late. Two
 * recoveries may run at once; each swaps against the version it read first.
 * -DNO_LOAN_NUMBER: any loan reply is credited, also a duplicate.
 * -DNO_FREEZE: a holder keeps lending and crediting after it has stated its
 * balance. -DNO_VERSION: a recovery swaps without comparing the version. */
#define LIMIT 2
#define EPOCHS 3
#define WRITES 4

byte epoch = 1;          /* the record */
byte version = 1;
byte circulating = LIMIT;
byte grant[2];
byte own_epoch[2] = 1;   /* the accounts */
byte balance[2];
bool frozen[2];
bool crashed[2];
bool asked[2];           /* a loan request is open */
byte loan[2];            /* number of the loan request made last */
byte reply_loan[2];
bool reply_sent[2];      /* a loan reply to this holder is under way */
byte reply_epoch[2];

#ifdef NO_FREEZE
#define MAY_MOVE(i) true
#else
#define MAY_MOVE(i) (!frozen[i])
#endif

#ifdef NO_LOAN_NUMBER
#define LOAN_IS_OPEN(i) true
#else
#define LOAN_IS_OPEN(i) (asked[i] && reply_loan[i] == loan[i])
#endif

inline Check() { assert(balance[0] + balance[1] <= LIMIT) }

proctype Holder(byte i) {
  bool taken = false;
  byte taken_epoch = 0;
end:
  do
  /* Take a token from the record; the answer comes later or never. */
  :: atomic { i == 1 && !crashed[i] && !taken && own_epoch[i] == epoch &&
              circulating < LIMIT && version < WRITES ->
       circulating++; version++; taken = true; taken_epoch = epoch }
  :: atomic { taken ->
       if
       :: !crashed[i] && own_epoch[i] == taken_epoch && MAY_MOVE(i) ->
            balance[i]++
       :: true  /* lost */
       fi; taken = false; Check() }
  /* Give one back: debit first. */
  :: atomic { i == 0 && balance[i] > 0 && MAY_MOVE(i) &&
              own_epoch[i] == epoch && version < WRITES ->
       balance[i]--;
       if :: circulating--; version++ :: true /* refused or lost */ fi }
  /* Borrow. */
  :: atomic { !crashed[i] && !asked[i] && loan[i] < 2 * i ->
       asked[i] = true; loan[i]++ }
  :: atomic { !crashed[i] && asked[1 - i] && !reply_sent[1 - i] &&
              balance[i] > 0 && MAY_MOVE(i) ->
       balance[i]--; reply_sent[1 - i] = true;
       reply_loan[1 - i] = loan[1 - i]; reply_epoch[1 - i] = own_epoch[i] }
  :: atomic { reply_sent[i] ->
       if
       :: !crashed[i] && reply_epoch[i] == own_epoch[i] && MAY_MOVE(i) &&
          LOAN_IS_OPEN(i) -> balance[i]++; asked[i] = false
       :: true  /* lost */
       fi;
       if :: reply_sent[i] = false :: true /* a duplicate stays */ fi;
       Check() }
  /* Adopt a newer epoch. */
  :: atomic { !crashed[i] && own_epoch[i] < epoch ->
       own_epoch[i] = epoch; balance[i] = grant[i]; frozen[i] = false;
       asked[i] = false; Check() }
  :: atomic { !crashed[i] && i == 1 ->
       crashed[i] = true; balance[i] = 0; asked[i] = false }
  od
}

proctype Recovery() {
  byte base, base_epoch, stated[2], i;
end:
  do
  :: epoch < EPOCHS && version < WRITES ->
       atomic { base = version; base_epoch = epoch; i = 0 };
       do
       :: i < 2 ->
            atomic {
              (crashed[i] || own_epoch[i] == base_epoch || epoch != base_epoch)
              -> if
                 :: crashed[i] -> stated[i] = 0
                 :: !crashed[i] && own_epoch[i] == base_epoch ->
                      stated[i] = balance[i]; frozen[i] = true
                 :: else -> break  /* another recovery was faster */
                 fi; i++ }
       :: i == 2 ->
            atomic {
#ifdef NO_VERSION
              if
              :: epoch < EPOCHS ->
#else
              if
              :: version == base ->
#endif
                   grant[0] = stated[0]; grant[1] = stated[1];
                   if
                   :: stated[0] + stated[1] < LIMIT ->
                        grant[0] = LIMIT - stated[1]
                   :: else
                   fi;
                   circulating = grant[0] + grant[1];
                   assert(circulating <= LIMIT);
                   epoch++; version++
              :: else
              fi; break }
       od
  od
}

init {
  atomic { balance[0] = LIMIT; run Holder(0); run Holder(1); run Recovery(); run Recovery() }
}
