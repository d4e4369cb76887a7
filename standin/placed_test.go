package standin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"parsleyhatch/upstream"
)

// Guards against an engine that serves a model before its weights are read, or that cuts the streams of
// the earlier model.
func TestPlaceOrder(t *testing.T) {
	t.Parallel()
	p := NewPlatform(PlatformSettings{WeightBytesPerSecond: 1 << 20})
	if err := p.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	p.SetWeights(WeightName("b", "v2"), 256<<10)
	e := NewEngine(EngineSettings{
		Placed: true, Model: "a", ChecksFencing: true, TokensPerSecond: 500, WeightStore: "http://" + p.Address(),
	})
	if err := e.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	client := upstream.New("")
	call := func(model string) (*upstream.Stream, *upstream.Failure) {
		body := fmt.Sprintf(`{"model":%q,"max_tokens":40,"messages":[{"role":"user","content":"x"}]}`, model)
		return client.Stream(context.Background(), e.Address(), upstream.CompletionRequest{RequestID: "r-" + model, MaxTokens: 40, Body: []byte(body), StallTimeout: time.Minute})
	}
	running, fail := call("a")
	if fail != nil {
		t.Fatal(fail)
	}
	defer running.Close()
	order := upstream.Order{Fencing: 1, Kind: upstream.OrderKindPlacement, Model: "b", Version: "v2"}
	began := time.Now()
	if err := client.Order(context.Background(), e.Address(), order); err != nil {
		t.Fatal(err)
	}
	if _, fail := call("a"); fail == nil || fail.Kind != upstream.NotSent || fail.Status != http.StatusConflict {
		t.Errorf("request of the earlier model: failure %v", fail)
	}
	if load, err := client.Load(context.Background(), e.Address()); err != nil || !load.Loading || load.Model != "b" || load.Version != "v2" {
		t.Errorf("load %+v, error %v", load, err)
	}
	tokens := int64(0)
	for {
		c, err := running.Next()
		if err != nil {
			break
		}
		tokens = c.End
	}
	if tokens != 40 {
		t.Errorf("the running stream ended at token %d of 40", tokens)
	}
	for limit := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		load, err := client.Load(context.Background(), e.Address())
		if err == nil && !load.Loading {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("the load did not end")
		}
	}
	// The store takes 0.25 s for the weights, less the rounding of four pieces.
	if took := time.Since(began); took < 249*time.Millisecond {
		t.Errorf("the load took %v", took)
	}
	s, fail := call("b")
	if fail != nil {
		t.Fatal(fail)
	}
	s.Close()
	if orders := e.Orders(); len(orders) != 1 || !strings.EqualFold(orders[0].Model, "b") {
		t.Errorf("orders %v", orders)
	}
}
