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

// requestDigest is the digest of most requests of the caller. A request with conflictingDigest reuses a ticket for other
// content.
const requestDigest, conflictingDigest = uint64(1), uint64(2)

// message is in flight until it is delivered, once or more, or dropped.
type message struct {
	kind    string // "request" from the caller or "answer" from a server to the owner, "attempt" or "fence" to a server
	token   string
	digest  uint64
	server  int
	attempt call.Attempt
	share   int
	state   ticket.State
	unused  int
	// afterJoin marks a request that waited for a run and asks for another decision.
	afterJoin bool
}

// run is a request that the owner is running, with one attempt in flight.
type run struct {
	token   string
	digest  uint64
	seq     uint64
	budget  retry.Budget
	attempt call.Attempt
	server  int
	share   int
}

// attemptID identifies an attempt in the observations of the model.
type attemptID = call.Attempt

// job is an attempt that a server accepted and that has not ended.
type job struct{ message }

type server struct {
	id       string
	attempts *ticket.Attempts
	jobs     []job
	clock    time.Time
}

// model simulates one caller, an owner and serving nodes, and records what an outside observer sees of them.
type model struct {
	t           *rapid.T
	inFlight    []message
	tokens      []string
	incarnation int
	ownerID     string
	issuer      *ticket.Issuer
	owner       *ticket.OwnerTable
	sequence    *ticket.Sequence
	runs        []*run
	ownerClock  time.Time
	servers     []*server
	serverIDs   [][]string

	executions     map[string]int     // executions by token
	ranAttempts    map[attemptID]bool // attempts that were executed
	notRun         map[attemptID]bool // attempts that a server reported as "not run"
	answeredNotRun map[string]bool    // tokens answered "not run" with no run accepted since
	retries        map[string]int     // retries by token
	runCounts      map[string]int     // runs accepted by token
	digests        map[string]uint64  // digest of the first run by token
}

func (m *model) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(m.t, name) }

func (m *model) send(msg message) { m.inFlight = append(m.inFlight, msg) }

// startOwner starts a new incarnation of the owner with empty tables.
func (m *model) startOwner() {
	m.incarnation++
	m.ownerID = fmt.Sprintf("owner-%d", m.incarnation)
	m.issuer = ticket.NewIssuer([]byte("key"), m.ownerID, "10.0.0.1:1", m.ownerClock)
	m.owner = ticket.NewOwnerTable(m.ownerID, m.ownerClock)
	m.owner.SetCapacity(3)
	m.sequence = ticket.NewSequence(time.Unix(int64(m.incarnation), 0))
	m.runs = nil
}

func (m *model) startServer(i int) {
	m.incarnation++
	id := fmt.Sprintf("server-%d", m.incarnation)
	m.servers[i] = &server{id: id, attempts: ticket.NewAttempts(id), clock: m.servers[i].clock}
	m.servers[i].attempts.SetCapacity(2, 2)
	m.serverIDs[i] = append(m.serverIDs[i], id)
}

// startAttempt sends another attempt of a run to the current or an earlier incarnation of a server, as an owner with an
// outdated view would.
func (m *model) startAttempt(r *run) {
	r.server = m.draw("server", len(m.servers))
	ids := m.serverIDs[r.server]
	id := ids[len(ids)-1-m.draw("incarnation", min(2, len(ids)))]
	r.attempt = call.Attempt{Sender: m.ownerID, Receiver: id, Seq: m.sequence.Next()}
	r.share = r.budget.Share()
	m.send(message{kind: "attempt", token: r.token, digest: r.digest, server: r.server, attempt: r.attempt, share: r.share})
}

// deliverRequest delivers a caller's request to the current incarnation of the owner.
func (m *model) deliverRequest(msg message) {
	tkt, err := m.issuer.Parse(msg.token)
	require.NoError(m.t, err)
	decide := m.owner.Begin
	if msg.afterJoin {
		decide = m.owner.DecideAfterJoin
	}
	switch v := decide(m.ownerClock, tkt, "payments", msg.digest).(type) {
	case ticket.Join:
		msg.afterJoin = true
		m.send(msg)
	case ticket.Run:
		if m.runCounts[msg.token]++; m.runCounts[msg.token] > 1 {
			m.retries[msg.token]++
		}
		if m.runCounts[msg.token] == 1 {
			m.digests[msg.token] = msg.digest
		}
		m.answeredNotRun[msg.token] = false
		r := &run{token: msg.token, digest: msg.digest, seq: tkt.Seq, budget: retry.NewBudget(v.Allowance)}
		m.runs = append(m.runs, r)
		m.startAttempt(r)
	case ticket.Replay:
		require.Equal(m.t, m.digests[msg.token], msg.digest, "the request got the answer of another request")
	case ticket.Refuse:
		if v.Outcome == call.OutcomeNotRun && v.Reason != call.ReasonTicketInvalid {
			m.recordNotRunAnswer(msg.token)
		}
	}
}

func (m *model) recordNotRunAnswer(token string) {
	require.Zero(m.t, m.executions[token], "answered not run, but the request ran")
	m.answeredNotRun[token] = true
}

// deliverAnswer delivers the answer to an attempt or to a fence query to the owner.
func (m *model) deliverAnswer(msg message) {
	for i, r := range m.runs {
		if r.attempt != msg.attempt || msg.state.Running {
			continue
		}
		r.budget.Return(r.share, msg.unused)
		if msg.state.Outcome == call.OutcomeNotRun && r.budget.Withdraw() {
			m.retries[r.token]++
			m.startAttempt(r)
			return
		}
		m.finish(i, msg.state.Outcome)
		return
	}
}

func (m *model) finish(i int, outcome call.Outcome) {
	r := m.runs[i]
	m.runs = append(m.runs[:i], m.runs[i+1:]...)
	m.owner.Finish(m.ownerClock, r.seq, ticket.Answer{Outcome: outcome}, r.budget.Remaining())
	if outcome == call.OutcomeNotRun {
		m.recordNotRunAnswer(r.token)
	}
}

// deliverToServer delivers an attempt or a fence query to the current incarnation of the server.
func (m *model) deliverToServer(msg message) {
	s := m.servers[msg.server]
	var state ticket.State
	if msg.kind == "fence" {
		state = s.attempts.Fence(s.clock, msg.attempt)
	} else {
		switch v := s.attempts.Receive(s.clock, msg.attempt).(type) {
		case ticket.Run:
			s.jobs = append(s.jobs, job{msg})
			return
		case ticket.Join:
			return
		case ticket.Replay:
			state = ticket.State{Outcome: v.Answer.Outcome}
		case ticket.Refuse:
			state = ticket.State{Outcome: v.Outcome}
		}
	}
	m.reply(msg, state, 0)
}

func (m *model) reply(msg message, state ticket.State, unused int) {
	if state.Outcome == call.OutcomeNotRun {
		require.False(m.t, m.ranAttempts[msg.attempt], "an attempt that ran is reported as not run")
		m.notRun[msg.attempt] = true
		unused = msg.share
	}
	m.send(message{kind: "answer", attempt: msg.attempt, state: state, unused: unused})
}

// endJob ends a job of a server: the job is shed from the queue, or it runs and uses some of the retries of its share.
func (m *model) endJob(s *server) {
	if len(s.jobs) == 0 {
		return
	}
	i := m.draw("job", len(s.jobs))
	j := s.jobs[i]
	s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
	outcome, used := call.OutcomeNotRun, 0
	if m.draw("sheds", 2) == 0 {
		outcome, used = call.OutcomeRan, m.draw("used", j.share+1)
		m.execute(j.message, used)
	}
	s.attempts.Finish(s.clock, j.attempt, ticket.Answer{Outcome: outcome})
	m.reply(j.message, ticket.State{Outcome: outcome}, j.share-used)
}

func (m *model) execute(msg message, used int) {
	m.executions[msg.token]++
	m.ranAttempts[msg.attempt] = true
	m.retries[msg.token] += used
	require.Equal(m.t, 1, m.executions[msg.token], "the request ran more than once")
	require.Equal(m.t, m.digests[msg.token], msg.digest, "another request ran with the ticket")
	require.False(m.t, m.notRun[msg.attempt], "an attempt ran after it was reported as not run")
	require.False(m.t, m.answeredNotRun[msg.token], "a request ran after it was answered not run, without a resend")
}

func (m *model) deliverOne() {
	if len(m.inFlight) == 0 {
		return
	}
	// The oldest and the newest message are drawn more often, so that schedules have very late and very prompt deliveries.
	i := []int{0, len(m.inFlight) - 1, m.draw("message", len(m.inFlight))}[m.draw("which", 3)]
	msg := m.inFlight[i]
	if delivery := m.draw("delivery", 8); delivery < 5 {
		m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...) // 5 to 7 duplicate the message.
		if delivery == 0 {
			return
		}
	}
	switch msg.kind {
	case "request":
		m.deliverRequest(msg)
	case "answer":
		m.deliverAnswer(msg)
	default:
		m.deliverToServer(msg)
	}
}

// injectFault restarts a node, moves the clock of a node, or adds other senders to a server's table.
func (m *model) injectFault() {
	s := m.servers[m.draw("server", len(m.servers))]
	step := []time.Duration{-time.Hour, time.Second, ticket.Retention, ticket.Lifetime}[m.draw("step", 4)]
	switch m.draw("fault", 10) {
	case 0:
		m.startOwner()
	case 1:
		m.startServer(m.draw("restarted", len(m.servers)))
	case 2, 3:
		m.ownerClock = m.ownerClock.Add(step)
	case 4, 5:
		s.clock = s.clock.Add(step)
	default:
		a := call.Attempt{Sender: fmt.Sprint("other-", m.draw("sender", 4)), Receiver: s.id, Seq: uint64(m.draw("seq", 100)) * 1e5}
		s.attempts.Fence(s.clock, a)
	}
}

func (m *model) callerStep() {
	if len(m.tokens) == 0 || m.draw("new", 12) == 0 {
		m.tokens = append(m.tokens, m.issuer.Issue(m.ownerClock, "payments"))
	}
	digest := requestDigest
	if m.draw("misuse", 16) == 0 {
		digest = conflictingDigest
	}
	m.send(message{kind: "request", token: m.tokens[m.draw("ticket", len(m.tokens))], digest: digest})
}

// ownerStep sends a fence query for an attempt, or ends a run with an unknown outcome as at its deadline.
func (m *model) ownerStep() {
	if len(m.runs) == 0 {
		return
	}
	i := m.draw("run", len(m.runs))
	if m.draw("gives up", 6) == 0 {
		m.finish(i, call.OutcomeUnknown)
		return
	}
	m.send(message{kind: "fence", server: m.runs[i].server, attempt: m.runs[i].attempt, share: m.runs[i].share})
}

// Guards against a ticketed request that runs twice, runs without a resend after "not run" was answered, or uses more
// retries than its bound. Messages are delayed, reordered, duplicated or lost, nodes restart or pause at any step, clocks
// jump and tables are full.
func TestTicketedRequestsRunAtMostOnce(t *testing.T) {
	schedule := func(t *rapid.T) {
		m := &model{
			t: t, ownerClock: time.Unix(1e6, 0), serverIDs: make([][]string, 2), executions: map[string]int{},
			ranAttempts: map[attemptID]bool{}, notRun: map[attemptID]bool{}, answeredNotRun: map[string]bool{},
			retries: map[string]int{}, runCounts: map[string]int{},
			digests: map[string]uint64{},
		}
		for i := range m.serverIDs {
			m.servers = append(m.servers, &server{clock: time.Unix(2e6, 0)})
			m.startServer(i)
		}
		m.startOwner()
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch step := m.draw("action", 20); {
			case step < 8:
				m.deliverOne()
			case step < 10:
				m.callerStep()
			case step < 12:
				m.ownerStep()
			case step < 16:
				m.endJob(m.servers[m.draw("ends at", len(m.servers))])
			default:
				m.injectFault()
			}
			for token, n := range m.retries {
				require.LessOrEqual(t, n, retry.MaxRetriesPerRequest, "retries of %s", token)
			}
		}
	}
	// Some faults occur in only one of a thousand schedules, and rapid runs 100 schedules in each check.
	for range 30 {
		rapid.Check(t, schedule)
	}
}
