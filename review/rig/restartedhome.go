package main

import (
	"errors"
	"time"
)

// umthombo holds the figures of umthombo-return.
var umthombo = sheet{
	services: []string{"gowu98c"}, zones: []string{"gau-a", "gau-b", "gau-c", "gau-d"}, machines: []int{2, 2, 2, 1},
	slots: 3, connections: 22, promotion: time.Second, lag: 8 * time.Millisecond,
}

// restartDelay is the short delay after which the platform starts a killed process again.
const restartDelay = 500 * time.Millisecond

var errSetup = errors.New("the deployment did not get into the state that the case needs")

// restartedHome kills and restarts the instance at which another instance keeps a caller's
// transaction, and lets a second caller begin a transaction before the first one goes on.
func restartedHome(r *rig) (bool, error) {
	if err := r.deploy(umthombo); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the placement of homes settles
	entry, home := r.entryAndHome()
	if entry == nil {
		return false, errSetup
	}
	r.note("%s is not home to the service; %s of the same zone is", entry.name, home.name)

	first, err := connect(r.record, "requester-1", entry.front(), dbPrimary)
	if err != nil {
		return false, err
	}
	if _, a, err := first.query("BEGIN"); err != nil || a.isErr {
		return false, errors.Join(errSetup, err)
	}
	firstWrite, a, err := first.query("WRITE a1 one")
	if err != nil || a.isErr {
		return false, errors.Join(errSetup, err)
	}
	if r.trouble {
		r.note("SIGKILL for %s", home.name)
		home.kill()
		time.Sleep(restartDelay)
		if err := home.start(); err != nil {
			return false, err
		}
	}
	if err := waitFor(10*time.Second, "the home is ready", func() bool { return home.ready() && home.isHome(r.groups[0].name) }); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	// Callers come back to the restarted machine. The first one of them begins a transaction.
	second, err := connect(r.record, "requester-2", home.front(), dbPrimary)
	if err != nil {
		return false, err
	}
	if _, a, err := second.query("BEGIN"); err != nil || a.isErr {
		return false, errors.Join(errSetup, err)
	}
	secondWrite, a, err := second.query("WRITE b1 two")
	if err != nil || a.isErr {
		return false, errors.Join(errSetup, err)
	}

	// The first caller ends its pause.
	_, _, _ = first.query("WRITE a2 three")
	commit, a, _ := first.query("COMMIT")
	committed := !a.isErr && a.code != ""
	time.Sleep(200 * time.Millisecond)
	_, a, _ = second.query("READ b1")
	_, _, _ = second.query("ROLLBACK")

	broken := r.judgeTransactions(first, second)
	if _, kept := r.groups[0].committed(secondWrite); kept {
		r.note("UNASKED: the write %s of %s is committed, and it never sent COMMIT; its last answer was %s", secondWrite, second.name, a)
		broken = true
	}
	if _, kept := r.groups[0].committed(firstWrite); committed && !kept {
		r.note("the commit %s of %s was acknowledged, and its write %s is in no log", commit, first.name, firstWrite)
		broken = true
	}
	return broken, nil
}

// entryAndHome returns an instance that is not home to the service, and the home of its zone.
func (r *rig) entryAndHome() (entry, home *instance) {
	for _, e := range r.instances {
		for _, h := range r.instances {
			if e.zone == h.zone && !e.isHome(r.groups[0].name) && h.isHome(r.groups[0].name) {
				return e, h
			}
		}
	}
	return nil, nil
}

// judgeTransactions checks PINNED on what the members ran: no statement runs inside the transaction
// of another requester. The requester whose statement is the first of a transaction owns it.
func (r *rig) judgeTransactions(requesters ...*requester) bool {
	type place struct {
		member            string
		conn, transaction int
	}
	owners := make(map[place]string)
	broken := false
	g := r.groups[0]
	g.mu.Lock()
	runs := g.runs
	g.mu.Unlock()
	for _, run := range runs {
		sender := senderOf(run.id, requesters)
		if run.transaction == 0 || sender == "" {
			continue
		}
		p := place{run.member, run.conn, run.transaction}
		if owners[p] == "" {
			owners[p] = sender
		}
		if owners[p] != sender {
			r.note("PINNED: %s %q of %s ran on connection %d of %s inside the transaction of %s", run.id, run.text, sender, run.conn, run.member, owners[p])
			broken = true
		}
	}
	return broken
}

// senderOf returns the name of the requester that sent a statement.
func senderOf(id string, requesters []*requester) string {
	for _, q := range requesters {
		if q.sent[id] {
			return q.name
		}
	}
	return ""
}
