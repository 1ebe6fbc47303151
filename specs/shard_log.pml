/*
 * The log of one shard's results: entry n is created if absent, and its creation is the commit.
 *
 * Two runners process the same items. One may crash after any write and restart. A process that
 * isn't scheduled models a frozen runner. The Object API may lose an answer, lose a write, or apply
 * a write late. Rules: Append, SettleByReading, RetrySameBytes, Seal, NoAppendAfterSeal, Cancel.
 *
 * Broken variants, each of which must be rejected:
 *   NO_CONDITIONAL_CREATE  an append overwrites an entry that exists
 *   RETRY_OTHER_BYTES      a retry with the same sequence number carries other items
 *   APPEND_AFTER_SEAL      a runner appends entries after it has read a seal
 *   NO_SETTLING            an append without an answer is treated as committed
 */

#define ALL_ITEMS 3
#define ENTRIES 4

mtype = { done, conflict, unavailable };

/* The entries, with their items as a bit set. Nonce 0 marks an absent entry, an empty set a seal. */
byte nonces[ENTRIES];
byte items[ENTRIES];

/* Writes that were sent but not yet applied: sequence number, nonce, items. */
chan late_writes = [2] of { byte, byte, byte };

bool is_cancelling = false;
bool has_restarted = false;

#define is_present(n) (nonces[n] != 0)
#define is_seal(n) (is_present(n) && items[n] == 0)

inline check_log() {
    assert((items[0] & items[1]) == 0 && (items[0] & items[2]) == 0 && (items[1] & items[2]) == 0);
    assert(!is_present(1) || (is_present(0) && !is_seal(0)));
    assert(!is_present(2) || (is_present(1) && !is_seal(1)));
    assert(!is_present(3))
}

inline check_complete() {
    assert(is_cancelling || (items[0] | items[1] | items[2]) == ALL_ITEMS)
}

inline apply(n, writer, batch, result) {
    if
#ifdef NO_CONDITIONAL_CREATE
    :: true ->
#else
    :: !is_present(n) ->
#endif
        nonces[n] = writer; items[n] = batch; result = done; check_log();
        if
        :: is_seal(n) -> check_complete()
        :: else
        fi
    :: is_present(n) ->
        result = conflict
    fi
}

inline create(n, writer, batch, result) {
    atomic {
        if
        :: true -> apply(n, writer, batch, result)
        :: true -> apply(n, writer, batch, result); result = unavailable
        :: result = unavailable
        :: nfull(late_writes) && !(late_writes??[eval(n), eval(writer), eval(batch)]) ->
            late_writes!!n, writer, batch; result = unavailable
        fi;
        if
        :: true -> skip
        :: !has_restarted -> has_restarted = true; writer = writer + 2; goto start
        fi
    }
}

/* Chooses some of the items that the runner hasn't yet found in the log. */
inline choose(batch, known) {
    if
    :: !(known & 1) -> batch = 1
    :: !(known & 2) -> batch = 2
    :: known == 0 -> batch = 3
    fi
}

active proctype store() {
    byte n, writer, batch;
    mtype result;
end:
    do
    :: atomic {
        late_writes??n, writer, batch -> apply(n, writer, batch, result);
        n = 0; writer = 0; batch = 0; result = 0
    }
    od
}

/* Cancel: set in the job's record; runners read it before their next append. */
active proctype caller() {
    is_cancelling = true
}

proctype runner(byte writer) {
    byte n, known, batch;
    mtype result;

start:
    atomic { n = 0; known = 0; batch = 0 }

next_entry:
    atomic {
        if
        :: is_cancelling || known == ALL_ITEMS -> batch = 0 /* Seal */
        :: !is_cancelling && known != ALL_ITEMS -> choose(batch, known)
        fi
    }

append: /* Append */
    create(n, writer, batch, result);
#ifdef NO_SETTLING
    if
    :: result == unavailable && n + 1 < ENTRIES ->
        atomic { known = known | batch; n++; goto next_entry }
    :: else
    fi;
#endif
    /* SettleByReading: a sequence number is settled only once an object exists under it. */
    atomic {
        if
        :: !is_present(n) ->
#ifdef RETRY_OTHER_BYTES
            if
            :: batch != 0 -> choose(batch, known)
            :: else
            fi;
#endif
            goto append /* RetrySameBytes */
        :: is_present(n) && nonces[n] == writer -> known = known | batch
        :: is_present(n) && nonces[n] != writer -> known = known | items[n]
        fi;
        if
        :: is_seal(n) ->
#ifdef APPEND_AFTER_SEAL
            if
            :: known != ALL_ITEMS && n + 1 < ENTRIES -> n++; choose(batch, known); goto append
            :: else -> goto finished
            fi
#else
            goto finished /* NoAppendAfterSeal */
#endif
        :: !is_seal(n) && n + 1 < ENTRIES -> n++; batch = 0; result = 0
        :: !is_seal(n) && n + 1 == ENTRIES -> assert(false)
        fi
    }
    goto next_entry;

finished:
    skip
}

init {
    atomic { run runner(1); run runner(2) }
}
