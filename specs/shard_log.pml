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

/* Two items, as a bit set. */
#define ALL_ITEMS 3
/* Two entries with an item each and a seal are the longest log; the fourth must stay absent. */
#define ENTRIES 4

mtype = { done, conflict, unavailable };

/* Each entry's nonce and the items with a result in it. Nonce 0: absent; an empty set: a seal. */
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

inline apply(n, writer, entry_items, result) {
    if
#ifdef NO_CONDITIONAL_CREATE
    :: true ->
#else
    :: !is_present(n) ->
#endif
        nonces[n] = writer; items[n] = entry_items; result = done; check_log();
        if
        :: is_seal(n) -> check_complete()
        :: else
        fi
    :: is_present(n) ->
        result = conflict
    fi
}

inline create(n, writer, entry_items, result) {
    atomic {
        if
        :: true -> apply(n, writer, entry_items, result)
        :: true -> apply(n, writer, entry_items, result); result = unavailable
        :: result = unavailable
        :: nfull(late_writes) && !(late_writes??[eval(n), eval(writer), eval(entry_items)]) ->
            late_writes!!n, writer, entry_items; result = unavailable
        fi;
        if
        :: true -> skip
        /* The runner crashes after the write and restarts as another writer. */
        :: !has_restarted -> has_restarted = true; writer = writer + 2; goto start
        fi
    }
}

/* Chooses items for an entry, of those that the runner hasn't yet found in the log. */
inline choose(entry_items, committed) {
    if
    :: !(committed & 1) -> entry_items = 1
    :: !(committed & 2) -> entry_items = 2
    :: committed == 0 -> entry_items = 3
    fi
}

active proctype store() {
    byte n, writer, entry_items;
    mtype result;
end:
    do
    :: atomic {
        late_writes??n, writer, entry_items -> apply(n, writer, entry_items, result);
        n = 0; writer = 0; entry_items = 0; result = 0
    }
    od
}

/* Cancel: set in the job's record; runners read it before their next append. */
active proctype caller() {
    is_cancelling = true
}

proctype runner(byte writer) {
    byte n, committed, entry_items;
    mtype result;

start:
    atomic { n = 0; committed = 0; entry_items = 0 }

next_entry:
    atomic {
        if
        :: is_cancelling || committed == ALL_ITEMS -> entry_items = 0 /* Seal */
        :: !is_cancelling && committed != ALL_ITEMS -> choose(entry_items, committed)
        fi
    }

append: /* Append */
    create(n, writer, entry_items, result);
#ifdef NO_SETTLING
    if
    :: result == unavailable && n + 1 < ENTRIES ->
        atomic { committed = committed | entry_items; n++; goto next_entry }
    :: else
    fi;
#endif
    /* SettleByReading: a sequence number is settled only once an object exists under it. */
    atomic {
        if
        :: !is_present(n) ->
#ifdef RETRY_OTHER_BYTES
            if
            :: entry_items != 0 -> choose(entry_items, committed)
            :: else
            fi;
#endif
            goto append /* RetrySameBytes */
        :: is_present(n) && nonces[n] == writer -> committed = committed | entry_items
        :: is_present(n) && nonces[n] != writer -> committed = committed | items[n]
        fi;
        if
        :: is_seal(n) ->
#ifdef APPEND_AFTER_SEAL
            if
            :: committed != ALL_ITEMS && n + 1 < ENTRIES ->
                n++; choose(entry_items, committed); goto append
            :: else -> goto finished
            fi
#else
            goto finished /* NoAppendAfterSeal */
#endif
        :: !is_seal(n) && n + 1 < ENTRIES -> n++; entry_items = 0; result = 0
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
