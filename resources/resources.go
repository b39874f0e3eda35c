// Package resources accounts for the memory and the file descriptors that a process
// holds for others, and chooses what is closed when they run out. It uses neither the
// network nor a clock: the time is an argument.
//
// The bound on the sum of all kinds is memoryPercent of what processBytes leaves of the
// VM's memory. The rest is for garbage that hasn't been collected and for the kernel's
// socket buffers, so that the process stays within the memory of its VM.
//
// Each connection of a caller is a Member with a State. From softPercent of a limit on,
// members are chosen for eviction, so that there is usually room before something new has to
// wait for it. They are evicted in this order:
//
//   - the oldest that has sent nothing or holds an incomplete head, unless it is younger
//     than freshTime;
//   - the body that has made no progress for the longest time, and for stallTime at least;
//   - the one that has been idle for the longest time.
//
// A Busy member is never evicted: its request may have been passed on. What
// doesn't fit is refused: a connection, the growth of a head, a body or an answer, and
// a new connection to an upstream, before anything was sent on it.
//
// # Usage
//
//	account := resources.New(resources.Options{MemoryBytes: 144 << 20, Descriptors: 3075})
//	member, ok := account.Open(now, func() { /* end the connection soon */ })
//	if !ok {
//		account.Refused(now) // or wait for room
//	}
//	defer member.Close()
//	member.Enter(resources.Head, now)
//	ok = member.HoldHead(bytes, lines, now)
//	member.Enter(resources.Busy, now)
//	ok = account.Hold(resources.Bodies, member, n, size, 0, now)
//	account.Release(resources.Bodies, member, n)
//
// The functions that are passed to Open are called without locks, by whichever call of
// the Account needs room. Enter and Close call none of them.
package resources

import (
	"container/list"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Kinds of memory.
const (
	Connections Kind = iota // callers' connections and what the runtime needs for them
	Heads                   // heads of requests beyond includedHeadBytes and includedHeadLines
	Requests                // requests that are handled, without long heads and without bodies
	Bodies                  // bodies of requests
	Answers                 // parts of answers that callers haven't read yet
	Upstreams               // connections to upstreams
	kinds
)

// States of a member. Silent and Head are evicted first, then Body, then Idle.
const (
	Silent State = iota // has sent nothing
	Head                // has sent a part of the head of a request
	Body                // has sent a part of the body of a request, which wasn't passed on
	Idle                // between requests
	Busy                // its request may have been passed on
)

// Causes for which a member is evicted or something new is refused.
const (
	Memory      Cause = "memory"
	BodyMemory  Cause = "body memory"
	Descriptors Cause = "descriptors"
)

const (
	// processBytes are for the program's code, the runtime and the process's own state:
	// an idle node occupies 20 to 25 MB.
	processBytes = 24 << 20
	// memoryPercent is the part of the rest that all kinds may occupy together, in
	// percent. The Go memory limit is 70 percent of the VM's memory; what is left below
	// it is for garbage.
	memoryPercent = 55
	// bodyPercent is the part of the VM's memory that Bodies and Answers may occupy, in
	// percent. While a buffer grows, its old copy is still there.
	bodyPercent = 25
	// softPercent is the part of a limit from which on members are evicted, and
	// long heads and bodies above smallBufferBytes are refused.
	softPercent = 94

	// Of the memory for bodies, buffers above smallBufferBytes may occupy only
	// mediumPercent, those above LargeBufferBytes only largePercent, and answers above
	// smallBufferBytes only answerPercent. So large bodies leave room for small ones, and
	// answers that aren't read leave room for bodies.
	smallBufferBytes = 16 << 10
	mediumPercent    = 90
	largePercent     = 75
	answerPercent    = 60
	// LargeBufferBytes is the size above which buffers may only occupy a part of the
	// memory for bodies.
	LargeBufferBytes = 256 << 10

	// reservedDescriptors are for files and for the node's own calls.
	reservedDescriptors = 200
	// ownPercent is the part of all descriptors that is for the other listeners, in
	// percent: the 768 connections that they accept are a quarter on the smallest VM.
	ownPercent = 25
	// memberPercent is the part of the other descriptors that callers' connections may
	// have, in percent. The rest is always left for upstreams.
	memberPercent = 85

	// freshTime is how long a new connection isn't closed for room, since its first
	// request is probably on its way.
	freshTime = 200 * time.Millisecond
	// stallTime is how long a body must have made no progress before it is given up for
	// room. Retransmissions on a bad link take less.
	stallTime = 2 * time.Second

	// Of a head, these bytes and lines are included in requestBytes. Few callers send
	// more.
	includedHeadBytes = 4 << 10
	includedHeadLines = 64
)

type (
	// Kind is what memory is held for.
	Kind uint8

	// State is what a member is used for at present.
	State uint8

	// Cause is what has run out.
	Cause string

	// Options configures an Account.
	Options struct {
		MemoryBytes int64 // of the whole VM
		Descriptors int   // of the process
		Logger      *slog.Logger
		Metrics     *metrics.Set
		// MetricPrefix begins the names of the metrics, such as "guavagauge_entry_".
		MetricPrefix string
	}

	// Account is the owner of a process's memory and descriptors. It is safe for
	// concurrent use.
	Account struct {
		options                      Options
		memoryLimit, bodyLimit       int64
		descriptorLimit, memberLimit int

		mu                 sync.Mutex
		held               [kinds]int64
		members, upstreams int
		evicting           int   // members that are being evicted
		evictingBytes      int64 // what they hold, without bodies
		evictingBodies     int64 // bytes of their bodies
		queues             [3]list.List
		lastLogged         map[string]time.Time // by the event's message and cause
		unlogged           map[string]int       // events since then
	}

	// Member is a connection of a caller. Its fields are guarded by the account's mu.
	Member struct {
		account  *Account
		evict    func()
		state    State
		since    time.Time // of the state, or of the last progress of a body
		queue    *list.List
		element  *list.Element
		head     int64 // bytes held for the head
		body     int64 // bytes held for the body
		evicting bool
		closed   bool
	}

	// eviction is a member that is to be evicted.
	eviction struct {
		evict func()
		cause Cause
		state State
	}
)

// New returns an account of a process in which nothing is held.
func New(options Options) (a *Account) {
	bodyLimit := options.MemoryBytes * bodyPercent / 100
	descriptors := max(options.Descriptors*(100-ownPercent)/100-reservedDescriptors, 2)
	a = &Account{
		options: options, bodyLimit: bodyLimit, lastLogged: map[string]time.Time{}, unlogged: map[string]int{},
		// A VM of less than 48 MB has no more than the bodies of before.
		memoryLimit:     max((options.MemoryBytes-processBytes)*memoryPercent/100, bodyLimit),
		descriptorLimit: descriptors, memberLimit: max(descriptors*memberPercent/100, 1),
	}
	a.registerMetrics()
	return a
}

// Open counts a new connection of a caller. If ok is false there is no room at present,
// and members were asked to make some; Refused counts that it was closed. evict is called
// at most once for each time that the member stops being Busy or Idle; it doesn't end the
// connection itself, but has its owner end it.
func (a *Account) Open(now time.Time, evict func()) (m *Member, ok bool) {
	a.mu.Lock()
	if a.lacking() == "" {
		m, ok = &Member{account: a, evict: evict}, true
		a.members++
		a.held[Connections] += connectionBytes
		m.enter(Silent, now)
	}
	evictions := a.makeRoom(now, connectionBytes, 0, 1)
	a.mu.Unlock()
	a.notify(evictions, now)
	return m, ok
}

// Refused notes that a new connection was closed for which Open had no room.
func (a *Account) Refused(now time.Time) {
	a.mu.Lock()
	cause := a.lacking()
	a.mu.Unlock()
	if cause == "" { // there is room by now
		cause = Descriptors
	}
	a.refused(cause, Connections, now)
}

// lacking returns what a new connection doesn't fit into, if any. The caller holds mu.
func (a *Account) lacking() (cause Cause) {
	switch {
	case a.members >= a.memberLimit || a.members+a.upstreams >= a.descriptorLimit:
		return Descriptors
	case a.total()+connectionBytes > a.memoryLimit:
		return Memory
	}
	return ""
}

// Close releases all that the member holds but its body, which its owner releases.
func (m *Member) Close() {
	a := m.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.closed {
		return
	}
	m.enter(Busy, m.since)
	m.closed = true
	a.held[Requests] -= requestBytes
	a.held[Connections] -= connectionBytes
	a.held[Heads] -= m.head
	m.head = 0
	a.members--
}

// Enter changes the state of the member, or notes the progress of its body. A member
// that is being evicted stays if it becomes Busy, or goes from Idle to Head. Idle
// releases the head.
func (m *Member) Enter(state State, now time.Time) {
	m.account.mu.Lock()
	defer m.account.mu.Unlock()
	m.enter(state, now)
}

func (m *Member) enter(state State, now time.Time) {
	a := m.account
	if m.closed {
		return
	}
	if m.state == Busy && state != Busy {
		a.held[Requests] -= requestBytes
	}
	switch state {
	case Busy:
		if m.state != Busy {
			a.held[Requests] += requestBytes
		}
		m.setEvicting(false)
	case Idle:
		m.hold(-m.head)
	}
	if m.state == Idle && state == Head {
		m.setEvicting(false)
	}
	firstByte := m.state == Silent && state == Head // the head keeps the place of its connection
	m.state = state
	if firstByte {
		return
	}
	m.since = now
	m.dequeue()
	if queue := a.queue(state); queue != nil && !m.evicting {
		m.queue, m.element = queue, queue.PushBack(m)
	}
}

func (m *Member) dequeue() {
	if m.queue != nil {
		m.queue.Remove(m.element)
		m.queue = nil
	}
}

// queue returns the members of a state in the order of their eviction.
func (a *Account) queue(state State) (queue *list.List) {
	switch state {
	case Silent, Head:
		return &a.queues[0]
	case Body:
		return &a.queues[1]
	case Idle:
		return &a.queues[2]
	case Busy:
	}
	return nil
}

// hold changes the bytes that are held for the head.
func (m *Member) hold(n int64) {
	m.head += n
	m.account.held[Heads] += n
	if m.evicting {
		m.account.evictingBytes += n
	}
}

func (m *Member) setEvicting(evicting bool) {
	if evicting == m.evicting {
		return
	}
	m.evicting = evicting
	sign := 1
	if !evicting {
		sign = -1
	}
	m.account.evicting += sign
	m.account.evictingBytes += int64(sign) * (connectionBytes + m.head)
	m.account.evictingBodies += int64(sign) * m.body
}

// HoldHead counts the head of a request of which n bytes and a number of lines were
// read so far. If ok is false the head doesn't fit, and nothing more is counted.
func (m *Member) HoldHead(n, lines int, now time.Time) (ok bool) {
	if n <= includedHeadBytes && lines <= includedHeadLines {
		return true
	}
	a := m.account
	a.mu.Lock()
	if m.closed {
		a.mu.Unlock()
		return false
	}
	more := max(int64(n)*headByteFactor+int64(lines)*headLineBytes-m.head, 0)
	if ok = a.total()+more <= soft(a.memoryLimit); ok { // the rest is for connections and small bodies
		m.hold(more)
	}
	evictions := a.makeRoom(now, more, 0, 0)
	a.mu.Unlock()
	a.notify(evictions, now)
	if !ok {
		a.refused(Memory, Heads, now)
	}
	return ok
}

// Hold counts n more bytes of a buffer for a body or an answer, which has the given
// size then. If ok is false they don't fit, and forfeited bytes are counted less, so that
// of several that need more at the same time, not all fail. m is the member whose body
// it is, or nil.
func (a *Account) Hold(kind Kind, m *Member, n, size, forfeited int, now time.Time) (ok bool) {
	limit, memoryLimit := a.bodyLimit, a.memoryLimit
	switch {
	case size > LargeBufferBytes:
		limit, memoryLimit = limit*largePercent/100, soft(memoryLimit)
	case size > smallBufferBytes:
		limit, memoryLimit = limit*mediumPercent/100, soft(memoryLimit)
	}
	a.mu.Lock()
	bodies := a.held[Bodies] + a.held[Answers]
	cause := BodyMemory
	switch {
	case bodies+int64(n) > limit || kind == Answers && size > smallBufferBytes && a.held[Answers]+int64(n) > a.bodyLimit*answerPercent/100:
	case a.total()+int64(n) > memoryLimit:
		cause = Memory
	default:
		ok = true
		a.addBody(kind, m, int64(n))
	}
	missing := int64(0)
	if !ok {
		missing = int64(n)
	}
	evictions := a.makeRoom(now, missing, max(bodies+missing-limit, 0), 0)
	if !ok {
		a.addBody(kind, m, -int64(forfeited))
	}
	a.mu.Unlock()
	a.notify(evictions, now)
	if !ok {
		a.refused(cause, kind, now)
	}
	return ok
}

// Release counts n bytes less of a buffer that Hold counted.
func (a *Account) Release(kind Kind, m *Member, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addBody(kind, m, -int64(n))
}

func (a *Account) addBody(kind Kind, m *Member, n int64) {
	a.held[kind] += n
	if m == nil || kind != Bodies {
		return
	}
	m.body += n
	if m.evicting {
		a.evictingBodies += n
	}
}

// OpenUpstream counts a new connection to an upstream, before it is opened. If ok is
// false, there is no descriptor for it.
func (a *Account) OpenUpstream(now time.Time) (ok bool) {
	a.mu.Lock()
	if ok = a.members+a.upstreams < a.descriptorLimit; ok {
		a.upstreams++
		a.held[Upstreams] += upstreamBytes
	}
	evictions := a.makeRoom(now, 0, 0, 1)
	a.mu.Unlock()
	a.notify(evictions, now)
	if !ok {
		a.refused(Descriptors, Upstreams, now)
	}
	return ok
}

// CloseUpstream counts a connection to an upstream less.
func (a *Account) CloseUpstream() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.upstreams--
	a.held[Upstreams] -= upstreamBytes
}

// makeRoom chooses the members that have to be evicted, so that the rest stays below
// softPercent of the limits with a number of bytes and descriptors more. bodyBytes are
// wanted of the memory for bodies. The caller holds mu.
func (a *Account) makeRoom(now time.Time, bytes, bodyBytes int64, descriptors int) (evictions []eviction) {
	for {
		var m *Member
		var cause Cause
		stayBytes := a.total() - a.evictingBytes - a.evictingBodies + bytes
		stayMembers := a.members - a.evicting
		bodies := a.held[Bodies] + a.held[Answers] - a.evictingBodies
		switch {
		case stayMembers+descriptors > soft(a.memberLimit) || stayMembers+a.upstreams+descriptors > soft(a.descriptorLimit):
			cause, m = Descriptors, a.next(now)
		case stayBytes > soft(a.memoryLimit):
			cause, m = Memory, a.next(now)
		}
		if m == nil && (bodies > soft(a.bodyLimit) || bodyBytes > a.evictingBodies) {
			cause, m = BodyMemory, a.nextBody(now)
		}
		if m == nil {
			return evictions
		}
		evictions = append(evictions, eviction{m.evict, cause, m.state})
		m.setEvicting(true)
		m.dequeue()
	}
}

func soft[T int | int64](limit T) (n T) { return limit * softPercent / 100 }

// next returns the member that leaves next.
func (a *Account) next(now time.Time) (m *Member) {
	if front := a.queue(Silent).Front(); front != nil {
		if m = front.Value.(*Member); now.Sub(m.since) >= freshTime {
			return m
		}
	}
	if m = a.nextBody(now); m != nil {
		return m
	}
	if front := a.queue(Idle).Front(); front != nil {
		return front.Value.(*Member)
	}
	return nil
}

// nextBody returns the member with a body that leaves next.
func (a *Account) nextBody(now time.Time) (m *Member) {
	if front := a.queue(Body).Front(); front != nil {
		if m = front.Value.(*Member); now.Sub(m.since) >= stallTime {
			return m
		}
	}
	return nil
}

func (a *Account) notify(evictions []eviction, now time.Time) {
	for _, d := range evictions {
		a.asked(d.cause, d.state, now)
		d.evict()
	}
}

// total returns the bytes held for all kinds. The caller holds mu.
func (a *Account) total() (n int64) {
	for _, held := range a.held {
		n += held
	}
	return n
}

// Held returns the bytes that are held for a kind.
func (a *Account) Held(kind Kind) (n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[kind]
}

// connections returns the number of connections of callers and to upstreams.
func (a *Account) connections() (members, upstreams int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members, a.upstreams
}
