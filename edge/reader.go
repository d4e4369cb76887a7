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
	// storeReaders is the number of VMs of a region that read the store themselves. The others read it
	// through these, so that the calls to the store do not grow with the number of VMs.
	storeReaders = 2
	// storeProbe is the period at which a VM that lost the store tries it again.
	storeProbe = 2 * time.Second
	// answerTimeout bounds the wait for another VM beyond the time that it was asked to wait.
	answerTimeout = 400 * time.Millisecond
)

var errNoReader = errors.New("no other vm reads the store")

// storeAsks are the questions that wait for answers of other VMs.
type storeAsks struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan vmwire.StoreAnswer
	// probed is when the store was tried last while it was down.
	probed time.Time
}

// readers returns the ways to read the store, the preferred one first.
func (e *Edge) readers() []source.Reader {
	now := e.Now()
	direct := source.StoreReader(e.store, e.Now)
	others := source.Reader{Range: e.rangeThroughVM, Watch: e.watchThroughVM}
	if e.Source.Down() {
		if now.Sub(e.asks.probed) < storeProbe {
			return []source.Reader{others, direct}
		}
		e.asks.probed = now
		return []source.Reader{direct, others}
	}
	if e.Source.UpstreamsKnown() && e.Fleet.StoreRank(now) >= storeReaders {
		return []source.Reader{others, direct}
	}
	return []source.Reader{direct, others}
}

func (e *Edge) rangeThroughVM(ctx context.Context) (source.Answer, error) {
	a, err := e.ask(ctx, vmwire.StoreAsk{})
	a.Items, a.Events = a.Events, nil
	return a, err
}

func (e *Edge) watchThroughVM(ctx context.Context, after uint64, wait time.Duration) (source.Answer, error) {
	return e.ask(ctx, vmwire.StoreAsk{After: after, WaitMillis: wait.Milliseconds()})
}

// ask asks a VM that reads the store. The age of its knowledge counts from the question, since the time of
// the answer on its way is not known.
func (e *Edge) ask(ctx context.Context, m vmwire.StoreAsk) (source.Answer, error) {
	answers := make(chan vmwire.StoreAnswer, 1)
	e.asks.mu.Lock()
	e.asks.next++
	m.ID = e.asks.next
	e.asks.waiting[m.ID] = answers
	e.asks.mu.Unlock()
	defer func() {
		e.asks.mu.Lock()
		delete(e.asks.waiting, m.ID)
		e.asks.mu.Unlock()
	}()
	asked := e.Now()
	name, ok := e.Fleet.AskReader(asked, &m)
	if !ok {
		return source.Answer{}, errNoReader
	}
	timer := time.NewTimer(time.Duration(m.WaitMillis)*time.Millisecond + answerTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return source.Answer{}, ctx.Err()
	case <-timer.C:
		return source.Answer{}, fmt.Errorf("read store through vm %s: no answer", name)
	case a := <-answers:
		return e.readAnswer(asked, name, a)
	}
}

func (e *Edge) readAnswer(asked time.Time, name string, m vmwire.StoreAnswer) (source.Answer, error) {
	switch m.Result {
	case vmwire.StoreOK:
	case vmwire.StoreCompacted:
		return source.Answer{}, platform.ErrCompacted
	default:
		return source.Answer{}, fmt.Errorf("read store through vm %s: %w", name, source.ErrUnknown)
	}
	a := source.Answer{KnownAt: asked.Add(time.Duration(m.KnownMillis) * time.Millisecond)}
	a.Revision = m.Revision
	for _, item := range m.Items {
		a.Events = append(a.Events, platform.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	if m.ReturnedMillis >= 0 {
		a.Returned = e.Now().Add(-time.Duration(m.ReturnedMillis) * time.Millisecond)
	}
	return a, nil
}

// runAnswer answers another VM's question.
func (e *Edge) runAnswer(s *vm.Session, m vmwire.StoreAsk) {
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
		a, err = e.Source.History.Range()
	} else {
		wait := min(time.Duration(m.WaitMillis)*time.Millisecond, 2*time.Second)
		a, err = e.Source.History.Watch(ctx, m.After, wait)
	}
	answer := &vmwire.StoreAnswer{ID: m.ID, Revision: a.Revision, ReturnedMillis: -1}
	answer.KnownMillis = a.KnownAt.Sub(arrived).Milliseconds() - 1
	if !a.Returned.IsZero() {
		answer.ReturnedMillis = e.Now().Sub(a.Returned).Milliseconds()
	}
	switch {
	case errors.Is(err, platform.ErrCompacted):
		answer.Result = vmwire.StoreCompacted
	case err != nil:
		answer.Result = vmwire.StoreUnknown
	}
	for _, item := range append(a.Items, a.Events...) {
		answer.Items = append(answer.Items, vmwire.StoreItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	s.Control(vmwire.KindStoreAnswer, answer)
}

func (e *Edge) takeAnswer(m vmwire.StoreAnswer) {
	e.asks.mu.Lock()
	defer e.asks.mu.Unlock()
	if answers := e.asks.waiting[m.ID]; answers != nil {
		delete(e.asks.waiting, m.ID)
		answers <- m
	}
}

// Control handles messages of other VMs.
func (e *Edge) Control(s *vm.Session, f vmwire.Frame) {
	var err error
	switch f.Kind {
	case vmwire.KindSuspect:
		var m vmwire.Suspect
		if err = vm.Decode(f, &m); err == nil {
			changed := e.Poison.Merge(e.Now(), m)
			if changed && s.Peer.Region != e.Settings.Region {
				e.Fleet.Broadcast(&m, true)
			}
		}
	case vmwire.KindStoreAsk:
		var m vmwire.StoreAsk
		if err = vm.Decode(f, &m); err == nil {
			go e.runAnswer(s, m)
		}
	case vmwire.KindUses:
		var m vmwire.Uses
		if err = vm.Decode(f, &m); err == nil && s.Peer.Region == e.Settings.Region {
			e.hearUses(e.Now(), s.Peer, &m)
		}
	case vmwire.KindStoreAnswer:
		var m vmwire.StoreAnswer
		if err = vm.Decode(f, &m); err == nil {
			e.takeAnswer(m)
		}
	}
	if err != nil {
		s.Close(err)
	}
}
