package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/call"
	"lovagelane/retry"
	"lovagelane/ticket"
)

// body is the digest of most requests of the model's caller; one with otherBody may misuse a ticket.
const body, otherBody = uint64(1), uint64(2)

// message waits in the bag of the model until it is delivered, once or more, or dropped.
type message struct {
	to      string // caller request to the owner, attempt or fence to a server, or their answers to the owner
	token   string
	digest  uint64
	server  int
	attempt call.Attempt
	share   int
	state   ticket.State
	unused  int
	// joined marks a request that waited for a run and asks again.
	joined bool
}

// run is a request that the owner runs: it has one attempt under way.
type run struct {
	token   string
	digest  uint64
	seq     uint64
	account retry.Account
	attempt call.Attempt
	server  int
	share   int
}

// attemptID names an attempt in what the model observes.
type attemptID = call.Attempt

// job is an attempt that a server let through and that has not ended.
type job struct{ message }

type server struct {
	id       string
	attempts *ticket.Attempts
	jobs     []job
	clock    time.Time
}

// model has one caller, an owner and serving nodes, with what an outside observer sees of them.
type model struct {
	t           *rapid.T
	bag         []message
	tokens      []string
	incarnation int
	ownerID     string
	issuer      *ticket.Issuer
	owner       *ticket.Owner
	sequence    *ticket.Sequence
	runs        []*run
	ownerClock  time.Time
	servers     []*server
	oldIDs      [][]string

	executed map[string]int     // executions by token
	ranAs    map[attemptID]bool // attempts that were executed
	notRun   map[attemptID]bool // attempts that a server called "not run"
	refused  map[string]bool    // tokens answered "not run" with no run accepted since
	retries  map[string]int     // retries by token
	runsOf   map[string]int     // runs accepted by token
	digests  map[string]uint64  // digest of the first run by token
}

func (m *model) pick(name string, n int) int { return rapid.IntRange(0, n-1).Draw(m.t, name) }

func (m *model) send(msg message) { m.bag = append(m.bag, msg) }

// startOwner starts an incarnation of the owner, which has forgotten everything.
func (m *model) startOwner() {
	m.incarnation++
	m.ownerID = fmt.Sprintf("owner-%d", m.incarnation)
	m.issuer = ticket.NewIssuer([]byte("key"), m.ownerID, "10.0.0.1:1", m.ownerClock)
	m.owner = ticket.NewOwner(m.ownerID, m.ownerClock)
	m.owner.SetBound(3)
	m.sequence = ticket.NewSequence(time.Unix(int64(m.incarnation), 0))
	m.runs = nil
}

func (m *model) startServer(i int) {
	m.incarnation++
	id := fmt.Sprintf("server-%d", m.incarnation)
	m.servers[i] = &server{id: id, attempts: ticket.NewAttempts(id), clock: m.servers[i].clock}
	m.servers[i].attempts.SetBounds(2, 2)
	m.oldIDs[i] = append(m.oldIDs[i], id)
}

// attemptNext starts another attempt of a run, at an incarnation of a server that the owner believes to be there.
func (m *model) attemptNext(r *run) {
	r.server = m.pick("server", len(m.servers))
	ids := m.oldIDs[r.server]
	id := ids[len(ids)-1-m.pick("stale", min(2, len(ids)))]
	r.attempt = call.Attempt{Sender: m.ownerID, Receiver: id, Seq: m.sequence.Next()}
	r.share = r.account.Share()
	m.send(message{to: "attempt", token: r.token, digest: r.digest, server: r.server, attempt: r.attempt, share: r.share})
}

// request delivers a caller's request to whichever incarnation of the owner is there.
func (m *model) request(msg message) {
	tick, err := m.issuer.Parse(msg.token)
	require.NoError(m.t, err)
	decide := m.owner.Begin
	if msg.joined {
		decide = m.owner.Again
	}
	switch v := decide(m.ownerClock, tick, "payments", msg.digest).(type) {
	case ticket.Join:
		msg.joined = true
		m.send(msg)
	case ticket.Run:
		if m.runsOf[msg.token]++; m.runsOf[msg.token] > 1 {
			m.retries[msg.token]++
		}
		if m.runsOf[msg.token] == 1 {
			m.digests[msg.token] = msg.digest
		}
		m.refused[msg.token] = false
		r := &run{token: msg.token, digest: msg.digest, seq: tick.Seq, account: retry.NewAccount(v.Allowance)}
		m.runs = append(m.runs, r)
		m.attemptNext(r)
	case ticket.Kept:
		require.Equal(m.t, m.digests[msg.token], msg.digest, "the answer of another request was given")
	case ticket.Refuse:
		if v.Outcome == call.OutcomeNotRun && v.Reason != call.ReasonTicketInvalid {
			m.answeredNotRun(msg.token)
		}
	}
}

func (m *model) answeredNotRun(token string) {
	require.Zero(m.t, m.executed[token], "answered not run, but it ran")
	m.refused[token] = true
}

// answered handles the answer to an attempt or to a fence query at the owner.
func (m *model) answered(msg message) {
	for i, r := range m.runs {
		if r.attempt != msg.attempt || msg.state.Running {
			continue
		}
		r.account.Return(r.share, msg.unused)
		if msg.state.Outcome == call.OutcomeNotRun && r.account.Take() {
			m.retries[r.token]++
			m.attemptNext(r)
			return
		}
		m.finish(i, msg.state.Outcome)
		return
	}
}

func (m *model) finish(i int, outcome call.Outcome) {
	r := m.runs[i]
	m.runs = append(m.runs[:i], m.runs[i+1:]...)
	m.owner.Finish(m.ownerClock, r.seq, ticket.Answer{Outcome: outcome}, r.account.Left())
	if outcome == call.OutcomeNotRun {
		m.answeredNotRun(r.token)
	}
}

// atServer delivers an attempt or a fence query to whichever incarnation of the server is there.
func (m *model) atServer(msg message) {
	s := m.servers[msg.server]
	var state ticket.State
	if msg.to == "fence" {
		state = s.attempts.Fence(s.clock, msg.attempt)
	} else {
		switch v := s.attempts.Receive(s.clock, msg.attempt).(type) {
		case ticket.Run:
			s.jobs = append(s.jobs, job{msg})
			return
		case ticket.Join:
			return
		case ticket.Kept:
			state = ticket.State{Outcome: v.Answer.Outcome}
		case ticket.Refuse:
			state = ticket.State{Outcome: v.Outcome}
		}
	}
	m.reply(msg, state, 0)
}

func (m *model) reply(msg message, state ticket.State, unused int) {
	if state.Outcome == call.OutcomeNotRun {
		require.False(m.t, m.ranAs[msg.attempt], "an attempt that ran is called not run")
		m.notRun[msg.attempt] = true
		unused = msg.share
	}
	m.send(message{to: "answer", attempt: msg.attempt, state: state, unused: unused})
}

// end ends a job of a server: it is dropped from the queue, or it runs and uses some of the retries that came with it.
func (m *model) end(s *server) {
	if len(s.jobs) == 0 {
		return
	}
	i := m.pick("job", len(s.jobs))
	j := s.jobs[i]
	s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
	outcome, used := call.OutcomeNotRun, 0
	if m.pick("sheds", 2) == 0 {
		outcome, used = call.OutcomeRan, m.pick("used", j.share+1)
		m.execute(j.message, used)
	}
	s.attempts.Finish(s.clock, j.attempt, ticket.Answer{Outcome: outcome})
	m.reply(j.message, ticket.State{Outcome: outcome}, j.share-used)
}

func (m *model) execute(msg message, used int) {
	m.executed[msg.token]++
	m.ranAs[msg.attempt] = true
	m.retries[msg.token] += used
	require.Equal(m.t, 1, m.executed[msg.token], "the request ran more than once")
	require.Equal(m.t, m.digests[msg.token], msg.digest, "another request ran with the ticket")
	require.False(m.t, m.notRun[msg.attempt], "an attempt called not run was run")
	require.False(m.t, m.refused[msg.token], "a request answered not run was run without a resend")
}

func (m *model) deliver() {
	if len(m.bag) == 0 {
		return
	}
	// The first and the last messages are favoured, for very late and for prompt ones.
	i := []int{0, len(m.bag) - 1, m.pick("message", len(m.bag))}[m.pick("which", 3)]
	msg := m.bag[i]
	if fate := m.pick("fate", 8); fate < 5 {
		m.bag = append(m.bag[:i], m.bag[i+1:]...) // 5 to 7 leave a duplicate behind.
		if fate == 0 {
			return
		}
	}
	switch msg.to {
	case "request":
		m.request(msg)
	case "answer":
		m.answered(msg)
	default:
		m.atServer(msg)
	}
}

// disturb restarts a party, moves one of its clocks, or brings other senders into a server's table.
func (m *model) disturb() {
	s := m.servers[m.pick("disturbed", len(m.servers))]
	step := []time.Duration{-time.Hour, time.Second, ticket.Retention, ticket.Lifetime}[m.pick("step", 4)]
	switch m.pick("disturbance", 10) {
	case 0:
		m.startOwner()
	case 1:
		m.startServer(m.pick("restarted", len(m.servers)))
	case 2, 3:
		m.ownerClock = m.ownerClock.Add(step)
	case 4, 5:
		s.clock = s.clock.Add(step)
	default:
		a := call.Attempt{Sender: fmt.Sprint("other-", m.pick("sender", 4)), Receiver: s.id, Seq: uint64(m.pick("seq", 100)) * 1e5}
		s.attempts.Fence(s.clock, a)
	}
}

func (m *model) callerSends() {
	if len(m.tokens) == 0 || m.pick("new", 12) == 0 {
		m.tokens = append(m.tokens, m.issuer.Issue(m.ownerClock, "payments"))
	}
	digest := body
	if m.pick("misuse", 16) == 0 {
		digest = otherBody
	}
	m.send(message{to: "request", token: m.tokens[m.pick("ticket", len(m.tokens))], digest: digest})
}

// ownerActs asks for the state of an attempt, or gives up at the deadline.
func (m *model) ownerActs() {
	if len(m.runs) == 0 {
		return
	}
	i := m.pick("run", len(m.runs))
	if m.pick("gives up", 6) == 0 {
		m.finish(i, call.OutcomeUnknown)
		return
	}
	m.send(message{to: "fence", server: m.runs[i].server, attempt: m.runs[i].attempt, share: m.runs[i].share})
}

// Guards against a ticketed request that runs twice, runs after "not run" was answered without a resend, or uses more
// retries than its bound, when messages are delayed, reordered, duplicated or lost, parties restart or stand still at any
// step, clocks jump and tables are full.
func TestTicketedRequestsRunAtMostOnce(t *testing.T) {
	schedule := func(t *rapid.T) {
		m := &model{
			t: t, ownerClock: time.Unix(1e6, 0), oldIDs: make([][]string, 2), executed: map[string]int{},
			ranAs: map[attemptID]bool{}, notRun: map[attemptID]bool{}, refused: map[string]bool{},
			retries: map[string]int{}, runsOf: map[string]int{},
			digests: map[string]uint64{},
		}
		for i := range m.oldIDs {
			m.servers = append(m.servers, &server{clock: time.Unix(2e6, 0)})
			m.startServer(i)
		}
		m.startOwner()
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch step := m.pick("action", 20); {
			case step < 8:
				m.deliver()
			case step < 10:
				m.callerSends()
			case step < 12:
				m.ownerActs()
			case step < 16:
				m.end(m.servers[m.pick("ends at", len(m.servers))])
			default:
				m.disturb()
			}
			for token, n := range m.retries {
				require.LessOrEqual(t, n, retry.RequestBound, "retries of %s", token)
			}
		}
	}
	// Some faults show in one of a thousand schedules; rapid runs 100 for each check.
	for range 30 {
		rapid.Check(t, schedule)
	}
}
