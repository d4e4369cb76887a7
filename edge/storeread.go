package edge

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/source"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// storeReaders is the number of VMs of a region that read the store directly. The others read it through
	// these VMs, so that the load on the store does not grow with the number of VMs. When the reader is lost, its
	// sessions end and the next VM reads.
	storeReaders = 1
	// storeProbeInterval is the interval at which a VM retries an unreachable store.
	storeProbeInterval = 2 * time.Second
	// readerAnswerMargin is how much longer than the requested wait the answer of another VM may take.
	readerAnswerMargin = 400 * time.Millisecond
	// maxQueryWait bounds the time for which the query of another VM waits for changes.
	maxQueryWait = 2 * time.Second
)

var errNoReader = errors.New("no other vm reads the store")

// pendingStoreReads tracks the store reads that wait for the answers of other VMs.
type pendingStoreReads struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan vmwire.StoreReply
	// lastProbe is the time of the latest direct attempt while the store was unreachable.
	lastProbe time.Time
}

// readers returns the readers of the store in order of preference.
func (e *Edge) readers() []source.Reader {
	now := e.Now()
	direct := source.DirectReader(e.store, e.Now)
	others := source.Reader{Range: e.rangeThroughVM, Watch: e.watchThroughVM}
	if e.Watcher.StoreDown() {
		if now.Sub(e.storeReads.lastProbe) < storeProbeInterval {
			return []source.Reader{others, direct}
		}
		e.storeReads.lastProbe = now
		return []source.Reader{direct, others}
	}
	if e.Watcher.RegistrationsLoaded() && e.Fleet.StoreRank(now) >= storeReaders {
		return []source.Reader{others, direct}
	}
	return []source.Reader{direct, others}
}

func (e *Edge) rangeThroughVM(ctx context.Context) (source.Answer, error) {
	a, err := e.askReader(ctx, vmwire.StoreQuery{})
	a.Items, a.Events = a.Events, nil
	return a, err
}

func (e *Edge) watchThroughVM(ctx context.Context, after source.Position, wait time.Duration) (source.Answer, error) {
	return e.askReader(ctx, vmwire.StoreQuery{After: after.Revision, Era: after.Era, WaitMillis: wait.Milliseconds()})
}

// askReader reads the store through a VM that reads it directly.
func (e *Edge) askReader(ctx context.Context, m vmwire.StoreQuery) (source.Answer, error) {
	return e.ask(ctx, m, e.Fleet.SendStoreQuery)
}

// ask reads the store through the VM to which send sends the query. The age of the answer is counted from the time
// when the query was sent, plus the time for which the other VM held it, since the transit times are not known.
func (e *Edge) ask(ctx context.Context, m vmwire.StoreQuery, send func(now time.Time, m *vmwire.StoreQuery) (string, bool)) (source.Answer, error) {
	answers := make(chan vmwire.StoreReply, 1)
	e.storeReads.mu.Lock()
	e.storeReads.lastID++
	m.ID = e.storeReads.lastID
	e.storeReads.pending[m.ID] = answers
	e.storeReads.mu.Unlock()
	defer func() {
		e.storeReads.mu.Lock()
		delete(e.storeReads.pending, m.ID)
		e.storeReads.mu.Unlock()
	}()
	sentAt := e.Now()
	m.KnownAge = vmwire.AgeOf(sentAt, e.Watcher.FreshAt())
	name, ok := send(sentAt, &m)
	if !ok {
		return source.Answer{}, errNoReader
	}
	timer := time.NewTimer(time.Duration(m.WaitMillis)*time.Millisecond + readerAnswerMargin)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return source.Answer{}, ctx.Err()
	case <-timer.C:
		return source.Answer{}, fmt.Errorf("read store through vm %s: no answer", name)
	case a := <-answers:
		return e.decodeAnswer(sentAt, name, a)
	}
}

func (e *Edge) decodeAnswer(sentAt time.Time, name string, m vmwire.StoreReply) (source.Answer, error) {
	switch m.Result {
	case vmwire.StoreOK:
	case vmwire.StoreCompacted:
		return source.Answer{}, platform.ErrCompacted
	default:
		return source.Answer{}, fmt.Errorf("read store through vm %s: %w", name, source.ErrStateUnknown)
	}
	now := e.Now()
	held := time.Duration(max(0, min(m.HeldMillis, now.Sub(sentAt).Milliseconds()))) * time.Millisecond
	a := source.Answer{KnownAt: m.KnownAge.Moment(sentAt.Add(held)), StoreReturnedAt: m.ReturnedAge.Moment(now)}
	a.Era, a.Revision = m.Era, m.Revision
	for _, item := range m.Items {
		a.Events = append(a.Events, platform.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Created: item.Created, Deleted: item.Deleted})
	}
	return a, nil
}

// answerStoreRead answers a store read of another VM.
func (e *Edge) answerStoreRead(s *vm.Session, m vmwire.StoreQuery) {
	arrived := e.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	var a source.Answer
	var err error
	if m.After == 0 {
		a, err = e.Watcher.RangeForVM()
	} else {
		wait := time.Duration(min(m.WaitMillis, maxQueryWait.Milliseconds())) * time.Millisecond
		a, err = e.Watcher.History.Watch(ctx, source.Position{Era: m.Era, Revision: m.After}, m.KnownAge.Moment(arrived), wait)
	}
	now := e.Now()
	answer := &vmwire.StoreReply{
		ID: m.ID, Era: a.Era, Revision: a.Revision, HeldMillis: now.Sub(arrived).Milliseconds(),
		KnownAge: vmwire.AgeOf(now, a.KnownAt), ReturnedAge: vmwire.AgeOf(now, a.StoreReturnedAt),
	}
	switch {
	case errors.Is(err, platform.ErrCompacted):
		answer.Result = vmwire.StoreCompacted
	case err != nil:
		answer.Result = vmwire.StoreUnknown
	}
	for _, item := range append(a.Items, a.Events...) {
		answer.Items = append(answer.Items, vmwire.StoreItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Created: item.Created, Deleted: item.Deleted})
	}
	s.SendControl(vmwire.KindStoreReply, answer)
}

func (e *Edge) deliverAnswer(m vmwire.StoreReply) {
	e.storeReads.mu.Lock()
	defer e.storeReads.mu.Unlock()
	if answers := e.storeReads.pending[m.ID]; answers != nil {
		delete(e.storeReads.pending, m.ID)
		answers <- m
	}
}

// HandleControl handles a control message of another VM. An invalid message closes the session.
func (e *Edge) HandleControl(s *vm.Session, f vmwire.Frame) {
	var err error
	switch f.Kind {
	case vmwire.KindSuspectRequest:
		var m vmwire.SuspectRequest
		if err = vm.Decode(f, &m); err == nil {
			changed := e.Poison.Merge(e.Now(), m)
			if changed && s.Peer.Region != e.Settings.Region {
				e.Fleet.BroadcastSuspect(&m, true)
			}
		}
	case vmwire.KindPartReport:
		var m vmwire.PartReport
		if err = vm.Decode(f, &m); err == nil {
			e.applyPartReport(s, &m)
		}
	case vmwire.KindStoreQuery:
		var m vmwire.StoreQuery
		if err = vm.Decode(f, &m); err == nil {
			go e.answerStoreRead(s, m)
		}
	case vmwire.KindUpstreamLoads:
		var m vmwire.UpstreamLoads
		if err = vm.Decode(f, &m); err == nil && s.Peer.Region == e.Settings.Region {
			e.receiveUses(e.Now(), s.Peer, &m)
		}
	case vmwire.KindUpstreamLimits:
		var m vmwire.UpstreamLimits
		if err = vm.Decode(f, &m); err == nil && s.Peer.Region == e.Settings.Region {
			e.receiveLimits(e.Now(), s.Peer, &m)
		}
	case vmwire.KindUpstreamLoss:
		var m vmwire.UpstreamLoss
		if err = vm.Decode(f, &m); err == nil && s.Peer.Region == e.Settings.Region {
			e.receiveLoss(e.Now(), &m)
		}
	case vmwire.KindStreamsBegan:
		var m vmwire.StreamsBegan
		if err = vm.Decode(f, &m); err == nil {
			e.receiveStreams(e.Now(), s.Peer, &m)
		}
	case vmwire.KindStreamQuery:
		var m vmwire.StreamQuery
		if err = vm.Decode(f, &m); err == nil {
			e.answerStreamQuery(s, &m)
		}
	case vmwire.KindStreamReply:
		var m vmwire.StreamReply
		if err = vm.Decode(f, &m); err == nil {
			e.receiveStreamReply(s.Peer, m)
		}
	case vmwire.KindVersionKnowledge:
		var m vmwire.VersionKnowledge
		if err = vm.Decode(f, &m); err == nil {
			e.receiveVersions(e.Now(), &m)
		}
	case vmwire.KindStoreReply:
		var m vmwire.StoreReply
		if err = vm.Decode(f, &m); err == nil {
			e.deliverAnswer(m)
		}
	}
	if err != nil {
		s.Close(err)
	}
}
