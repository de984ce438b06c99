package standin

import (
	"encoding/json"
	"maps"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
)

// Row is a table row as returned by the table service.
type Row struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"age-ms"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Write is one write of a transaction.
type Write struct {
	Key       string  `json:"key"`
	Value     string  `json:"value"`
	IfVersion *uint64 `json:"if-version,omitempty"`
	IfEra     *uint64 `json:"if-era,omitempty"`
	Delete    bool    `json:"delete,omitempty"`
}

// PlatformFaults is the request body of POST /standin/faults on the platform. A fault whose field is absent keeps its
// setting.
type PlatformFaults struct {
	// Down makes the store answer every request with 503.
	Down *bool `json:"down,omitempty"`
	// DelayMS delays every request before it is executed.
	DelayMS *int64 `json:"delay-ms,omitempty"`
	// LoseAnswers makes the store execute the next n writes and close their connections without an answer.
	LoseAnswers *int `json:"lose-answers,omitempty"`
}

// PlatformCounts counts the requests that the store has executed. A transaction whose conditions fail counts as a read.
type PlatformCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

type storedRow struct {
	Row
	writtenAt time.Time
}

type table struct {
	revision uint64
	rows     map[string]*storedRow
}

// Platform is an in-memory table service and object store. Nodes use it as their store.
type Platform struct {
	clock kernel.Clock

	mu          sync.Mutex
	tables      map[string]*table
	objects     map[string][]byte
	counts      PlatformCounts
	down        bool
	delay       time.Duration
	loseAnswers int
	// era is the number of returns from a copy, and copied the tables and objects of the next one.
	era    uint64
	copied struct {
		tables  map[string]*table
		objects map[string][]byte
	}
}

// NewPlatform returns an empty platform; Serve starts it.
func NewPlatform(clock kernel.Clock) *Platform {
	return &Platform{clock: clock, tables: map[string]*table{}, objects: map[string][]byte{}}
}

// Serve handles requests on ln until the group stops.
func (p *Platform) Serve(g *kernel.Group, ln net.Listener) {
	serve(g, "platform", newServer(p.handle), ln)
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	parts, err := pathParts(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if parts[0] == "standin" {
		p.handleTestControl(ctx, parts)
		return
	}
	p.mu.Lock()
	delay, down := p.delay, p.down
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if down {
		ctx.Error("the store is down", fasthttp.StatusServiceUnavailable)
		return
	}
	method := string(ctx.Method())
	switch {
	case method == "GET" && len(parts) == 4 && parts[0] == "tables" && parts[2] == "rows":
		p.getRow(ctx, parts[1], parts[3])
	case method == "GET" && len(parts) == 3 && parts[0] == "tables" && parts[2] == "rows":
		p.listRows(ctx, parts[1])
	case method == "POST" && len(parts) == 3 && parts[0] == "tables" && parts[2] == "transactions":
		p.transact(ctx, parts[1])
	case method == "PUT" && len(parts) == 2 && parts[0] == "objects":
		p.putObject(ctx, parts[1])
	case method == "GET" && len(parts) == 2 && parts[0] == "objects":
		p.getObject(ctx, parts[1])
	default:
		ctx.Error("no such resource", fasthttp.StatusNotFound)
	}
}

// pathParts returns the unescaped segments of the path. It splits before unescaping, since a key may contain an escaped
// slash.
func pathParts(ctx *fasthttp.RequestCtx) ([]string, error) {
	parts := strings.Split(strings.Trim(string(ctx.URI().PathOriginal()), "/"), "/")
	for i := range parts {
		s, err := url.PathUnescape(parts[i])
		if err != nil {
			return nil, err
		}
		parts[i] = s
	}
	return parts, nil
}

func (p *Platform) handleTestControl(ctx *fasthttp.RequestCtx, parts []string) {
	switch {
	case len(parts) == 2 && parts[1] == "counts" && ctx.IsGet():
		answerJSON(ctx, fasthttp.StatusOK, p.Counts())
	case len(parts) == 2 && parts[1] == "faults" && ctx.IsPost():
		var f PlatformFaults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	case len(parts) == 2 && parts[1] == "copy" && ctx.IsPost():
		p.Copy()
	case len(parts) == 2 && parts[1] == "restore" && ctx.IsPost():
		p.Restore()
	default:
		ctx.Error("no such switch", fasthttp.StatusNotFound)
	}
}

// Counts returns the numbers of requests so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetFaults sets the faults whose fields are present in f.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Down != nil {
		p.down = *f.Down
	}
	if f.DelayMS != nil {
		p.delay = time.Duration(*f.DelayMS) * time.Millisecond
	}
	if f.LoseAnswers != nil {
		p.loseAnswers = *f.LoseAnswers
	}
}

// Copy copies all tables and objects for Restore.
func (p *Platform) Copy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copied.tables, p.copied.objects = copyTables(p.tables), maps.Clone(p.objects)
}

// Restore loses all that was written after the last Copy and begins the next era, in which the versions and revisions of lost
// writes are given out again.
func (p *Platform) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tables, p.objects = copyTables(p.copied.tables), maps.Clone(p.copied.objects)
	p.era++
}

// copyTables returns a copy that shares the rows, which never change.
func copyTables(tables map[string]*table) map[string]*table {
	copied := map[string]*table{}
	for name, t := range tables {
		copied[name] = &table{revision: t.revision, rows: maps.Clone(t.rows)}
	}
	return copied
}

func (p *Platform) getRow(ctx *fasthttp.RequestCtx, tableName, key string) {
	p.mu.Lock()
	p.counts.Reads++
	var row Row
	var r *storedRow
	if t := p.tables[tableName]; t != nil {
		r = t.rows[key]
	}
	found := r != nil && !r.Deleted
	if found {
		row = p.rowWithAge(r)
		p.stateEra(ctx)
	}
	p.mu.Unlock()
	if !found {
		ctx.Error("no such row", fasthttp.StatusNotFound)
		return
	}
	answerJSON(ctx, fasthttp.StatusOK, row)
}

// stateEra sets the header of an answer that states the era, from the first return on. p.mu must be held.
func (p *Platform) stateEra(ctx *fasthttp.RequestCtx) {
	if p.era > 0 {
		ctx.Response.Header.Set("Store-Era", strconv.FormatUint(p.era, 10))
	}
}

// rowWithAge returns the row with its current age. p.mu must be held.
func (p *Platform) rowWithAge(r *storedRow) Row {
	row := r.Row
	row.AgeMS = p.clock.Now().Sub(r.writtenAt).Milliseconds()
	return row
}

func (p *Platform) listRows(ctx *fasthttp.RequestCtx, tableName string) {
	since := uint64(0)
	if s := ctx.QueryArgs().Peek("since"); len(s) > 0 {
		n, err := strconv.ParseUint(string(s), 10, 64)
		if err != nil {
			ctx.Error("since is not a revision", fasthttp.StatusBadRequest)
			return
		}
		since = n
	}
	var list struct {
		Revision uint64 `json:"revision"`
		Rows     []Row  `json:"rows"`
	}
	list.Rows = []Row{}
	p.mu.Lock()
	p.counts.Reads++
	p.stateEra(ctx)
	if t := p.tables[tableName]; t != nil {
		list.Revision = t.revision
		for _, r := range t.rows {
			if r.Revision > since {
				list.Rows = append(list.Rows, p.rowWithAge(r))
			}
		}
	}
	p.mu.Unlock()
	answerJSON(ctx, fasthttp.StatusOK, list)
}

func (p *Platform) transact(ctx *fasthttp.RequestCtx, tableName string) {
	var in struct {
		Writes []Write `json:"writes"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	seen := kernel.Set[string]{}
	for _, w := range in.Writes {
		if w.Key == "" || seen.Has(w.Key) {
			ctx.Error("each write of a transaction needs a key of its own", fasthttp.StatusBadRequest)
			return
		}
		seen[w.Key] = struct{}{}
	}
	p.mu.Lock()
	t := p.tables[tableName]
	if t == nil {
		t = &table{rows: map[string]*storedRow{}}
		p.tables[tableName] = t
	}
	if failedKey, version, ok := t.checkConditions(in.Writes, p.era); !ok {
		p.counts.Reads++
		p.mu.Unlock()
		answerJSON(ctx, fasthttp.StatusPreconditionFailed, map[string]any{"key": failedKey, "version": version})
		return
	}
	versions := t.apply(in.Writes, p.clock.Now())
	revision := t.revision
	p.stateEra(ctx)
	dropAnswer := p.recordWrite()
	p.mu.Unlock()
	if dropAnswer {
		dropConnection(ctx)
		return
	}
	answerJSON(ctx, fasthttp.StatusOK, map[string]any{"revision": revision, "versions": versions})
}

// recordWrite counts an executed write and reports whether its answer must be dropped. p.mu must be held.
func (p *Platform) recordWrite() bool {
	p.counts.Writes++
	if p.loseAnswers == 0 {
		return false
	}
	p.loseAnswers--
	return true
}

func (t *table) version(key string) uint64 {
	if r := t.rows[key]; r != nil && !r.Deleted {
		return r.Version
	}
	return 0
}

// checkConditions returns the key and the current version of the first write whose condition fails, or true if none
// fails.
func (t *table) checkConditions(writes []Write, era uint64) (string, uint64, bool) {
	for _, w := range writes {
		current := t.version(w.Key)
		if w.IfVersion != nil && *w.IfVersion != current || w.IfEra != nil && *w.IfEra != era {
			return w.Key, current, false
		}
	}
	return "", 0, true
}

func (t *table) apply(writes []Write, now time.Time) map[string]uint64 {
	t.revision++
	versions := map[string]uint64{}
	for _, w := range writes {
		r := Row{Key: w.Key, Value: w.Value, Version: t.version(w.Key) + 1, Revision: t.revision, Deleted: w.Delete}
		if w.Delete {
			r.Value = ""
		}
		t.rows[w.Key] = &storedRow{Row: r, writtenAt: now}
		versions[w.Key] = r.Version
	}
	return versions
}

func (p *Platform) putObject(ctx *fasthttp.RequestCtx, name string) {
	body := append([]byte(nil), ctx.PostBody()...)
	p.mu.Lock()
	p.objects[name] = body
	p.stateEra(ctx)
	dropAnswer := p.recordWrite()
	p.mu.Unlock()
	if dropAnswer {
		dropConnection(ctx)
	}
}

func (p *Platform) getObject(ctx *fasthttp.RequestCtx, name string) {
	p.mu.Lock()
	p.counts.Reads++
	body, ok := p.objects[name]
	p.mu.Unlock()
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(body)
}
