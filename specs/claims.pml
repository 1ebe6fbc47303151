/*
 * At-most-once calls by claims in the Object API.
 *
 * Two attempts with the same idempotency key run on gateways that may crash after any write or send.
 * A process that isn't scheduled models a frozen gateway. The Object API may lose an answer, lose
 * a write, or apply a write late. Rules: Claim, SendAfterClaim, RecordOutcome, ResendReads, MarkNotRun.
 *
 * Broken variants, each of which must be rejected:
 *   NO_CONDITIONAL_CREATE  the create overwrites an object that exists
 *   SEND_BEFORE_CLAIM      the call is sent before the claim is written
 *   NONCE_IGNORED          an attempt treats any running claim as its own
 *   NO_RELEASE             a claim that may still be applied late isn't released
 */

#define ATTEMPTS 2
#define ABSENT 0
#define CLAIM_RETRIES 1

mtype = { none, running, not_run, answered, answer_lost };
mtype = { done, conflict, unavailable };

/* The object under the key. Version 0 means that the object is absent. */
byte version = ABSENT;
byte nonce;
mtype state = none;

/* Writes that were sent but not yet applied: nonce, state, expected version. */
chan late_writes = [2] of { byte, mtype, byte };

byte runs = 0;
bool ran[ATTEMPTS + 1];
bool reported_not_run[ATTEMPTS + 1];
bool has_crashed = false;

inline may_crash() {
    if
    :: true -> skip
    :: has_crashed = true; goto crashed
    fi
}

inline apply(writer, new_state, expected, result) {
    if
    :: version == expected ->
        version++; nonce = writer; state = new_state; result = done;
        assert(state != not_run || !ran[nonce]);
        assert(state != answered || ran[nonce])
    :: else ->
        result = conflict
    fi
}

inline write(writer, new_state, expected, result) {
    atomic {
        if
        :: true -> apply(writer, new_state, expected, result)
        :: true -> apply(writer, new_state, expected, result); result = unavailable
        :: result = unavailable
        :: nfull(late_writes) && !(late_writes??[eval(writer), eval(new_state), eval(expected)]) ->
            late_writes!!writer, new_state, expected; result = unavailable
        fi;
        may_crash()
    }
}

inline create(writer, new_state, result) {
#ifdef NO_CONDITIONAL_CREATE
    write(writer, new_state, version, result)
#else
    write(writer, new_state, ABSENT, result)
#endif
}

inline read(read_version, read_nonce, read_state) {
    atomic { read_version = version; read_nonce = nonce; read_state = state }
}

/* The backend service: runs the call, runs it and loses the answer, or refuses the connection. */
inline send(me, result) {
    atomic {
        if
        :: true -> runs++; ran[me] = true; assert(runs <= 1); assert(!reported_not_run[me]); result = done
        :: true -> runs++; ran[me] = true; assert(runs <= 1); assert(!reported_not_run[me]); result = unavailable
        :: result = conflict
        fi;
        may_crash()
    }
}

active proctype store() {
    byte writer, expected;
    mtype new_state, result;
end:
    do
    :: atomic {
        late_writes??writer, new_state, expected -> apply(writer, new_state, expected, result);
        writer = 0; new_state = 0; expected = 0; result = 0
    }
    od
}

proctype attempt(byte me) {
    byte claim_version, read_version, read_nonce, late_version, tries;
    bool may_be_late = false;
    mtype read_state, result;

#ifdef SEND_BEFORE_CLAIM
    send(me, result);
#endif

claim: /* Claim */
    create(me, running, result);
    if
    :: result == done -> claim_version = 1; goto claimed
    :: result == unavailable -> may_be_late = true
    :: else
    fi;

resend_reads: /* ResendReads: the nonce identifies the attempt whose claim is stored. */
    read(read_version, read_nonce, read_state);
    if
    :: read_version == ABSENT ->
        if
        :: tries < CLAIM_RETRIES -> tries++; goto claim
        :: else -> goto refused
        fi
    :: read_version != ABSENT && read_nonce == me && read_state == running ->
        claim_version = read_version; goto claimed
#ifdef NONCE_IGNORED
    :: read_version != ABSENT && read_nonce != me && read_state == running ->
        claim_version = read_version; goto claimed
#endif
    :: read_version != ABSENT && read_nonce != me && read_state == not_run ->
        write(me, running, read_version, result);
        if
        :: result == done -> claim_version = read_version + 1; goto claimed
        :: else ->
            if
            :: result == unavailable -> may_be_late = true; late_version = read_version
            :: else
            fi;
            if
            :: tries < CLAIM_RETRIES -> tries++; goto resend_reads
            :: else -> goto refused
            fi
        fi
    :: else ->
        assert(read_state != answered || runs == 1);
        goto finished
    fi;

claimed: /* SendAfterClaim */
#ifndef SEND_BEFORE_CLAIM
    send(me, result);
#endif
    if
    :: result == conflict -> reported_not_run[me] = true; goto release
    :: result == done -> read_state = answered
    :: result == unavailable -> read_state = answer_lost
    fi;
    do /* RecordOutcome: an earlier try may have been applied; then the version has changed. */
    :: write(me, read_state, claim_version, result);
        if
        :: result == unavailable -> skip
        :: else -> goto finished
        fi
    od;

refused:
    reported_not_run[me] = true;
    assert(!ran[me]);
#ifdef NO_RELEASE
    goto finished;
#endif
    if
    :: !may_be_late -> goto finished
    :: else
    fi;

release: /* MarkNotRun: writes the object, so that a late claim fails its version check. */
    read(read_version, read_nonce, read_state);
    if
    :: read_version == ABSENT ->
        create(me, not_run, result)
    :: read_version != ABSENT && read_state == running && read_nonce == me ->
        write(me, not_run, read_version, result)
    :: read_version != ABSENT && read_state == not_run && read_version == late_version ->
        write(me, not_run, read_version, result)
    :: else -> goto finished
    fi;
    if
    :: result == done -> goto finished
    :: else -> goto release
    fi;

crashed:
finished:
    skip
}

/* Once no process can take a step, a running claim may block the key only if a gateway crashed. */
active proctype monitor() {
    timeout -> assert(has_crashed || state != running)
}

init {
    atomic { run attempt(1); run attempt(2) }
}
