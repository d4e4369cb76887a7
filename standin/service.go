package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxServiceBytes bounds the body of a service call.
const maxServiceBytes = 8 << 20

// ServiceMode is how a plain service answers.
type ServiceMode string

// Modes of a plain service.
const (
	ServiceNormal ServiceMode = "normal"
	// ServiceCrash executes the call and aborts the connection before the answer.
	ServiceCrash ServiceMode = "crash"
	// ServiceSlow executes the call and answers after SlowTime.
	ServiceSlow ServiceMode = "slow"
	// ServiceRefuse answers 503 and does not execute the call.
	ServiceRefuse ServiceMode = "refuse"
	// ServiceDown closes the port, so that connections are refused.
	ServiceDown ServiceMode = "down"
)

// ServiceSettings configures a plain service.
type ServiceSettings struct {
	// Latency is the time until the execution.
	Latency time.Duration
	// SlowTime is the time between execution and answer in ServiceSlow.
	SlowTime time.Duration
	// Credential is the platform credential that every call must carry; empty means none.
	Credential string
}

// Execution counts the executions of one call.
type Execution struct {
	Path string `json:"path"`
	// Key is the Idempotency-Key header.
	Key  string `json:"key"`
	Body []byte `json:"body"`
	// Count is above 1 if the call was repeated.
	Count int `json:"count"`
}

// ServiceAnswer is the answer to a call.
type ServiceAnswer struct {
	// Execution is the number of executions of this path, key and body, this one included.
	Execution int `json:"execution"`
	// Echo is the hex SHA-256 of the body.
	Echo string `json:"echo"`
}

// Service simulates a plain service. It is an http.Handler.
type Service struct {
	settings ServiceSettings
	host     host

	mu         sync.Mutex
	mode       ServiceMode
	left       int // Calls until the mode ends; 0 means that it stays.
	executions []Execution
	index      map[string]int
	authSeen   map[string]int
}

// NewService returns a service in ServiceNormal.
func NewService(settings ServiceSettings) *Service {
	return &Service{settings: settings, mode: ServiceNormal, index: map[string]int{}, authSeen: map[string]int{}}
}

// Listen serves at the address, IP:port; port 0 picks a free one.
func (s *Service) Listen(address string) error { return s.host.listen(s, address) }

// Address returns the address that Listen opened, IP:port.
func (s *Service) Address() string { return s.host.addr() }

// Close stops the service.
func (s *Service) Close() { s.host.close() }

// SetMode changes the mode for a number of calls; 0 means until the next SetMode. ServiceDown
// ignores the number, since no call arrives.
func (s *Service) SetMode(mode ServiceMode, calls int) error {
	known := []ServiceMode{ServiceNormal, ServiceCrash, ServiceSlow, ServiceRefuse, ServiceDown}
	if !slices.Contains(known, mode) {
		return fmt.Errorf("unknown mode %q", mode)
	}
	s.mu.Lock()
	s.mode, s.left = mode, calls
	s.mu.Unlock()
	if mode == ServiceDown {
		s.host.suspend()
	} else {
		s.host.resume()
	}
	return nil
}

// Executions returns all executed calls in the order of their first execution.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// AuthorizationsSeen counts the Authorization headers of all calls.
func (s *Service) AuthorizationsSeen() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.authSeen)
}

// ServeHTTP executes one call, or serves a control call under /standin/.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/standin/executions":
		writeJSON(w, http.StatusOK, s.Executions())
	case r.Method == http.MethodPut && r.URL.Path == "/standin/mode":
		s.serveSetMode(w, r)
	case strings.HasPrefix(r.URL.Path, "/standin/"):
		refuse(w, http.StatusNotFound, "no control call %s %s", r.Method, r.URL.Path)
	default:
		s.serveCall(w, r)
	}
}

// ServiceModeSetting is the body of PUT /standin/mode.
type ServiceModeSetting struct {
	Mode  ServiceMode `json:"mode"`
	Calls int         `json:"calls"`
}

// serveSetMode refuses ServiceDown, which no later call could end.
func (s *Service) serveSetMode(w http.ResponseWriter, r *http.Request) {
	var setting ServiceModeSetting
	if !readControl(w, r, &setting) {
		return
	}
	if setting.Mode == ServiceDown {
		refuse(w, http.StatusBadRequest, "mode %q cannot be set over HTTP", setting.Mode)
		return
	}
	if err := s.SetMode(setting.Mode, setting.Calls); err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	mode := s.arrive(r.Header.Get("Authorization"))
	if s.settings.Credential != "" && r.Header.Get("Authorization") != "Bearer "+s.settings.Credential {
		refuse(w, http.StatusUnauthorized, "platform credential is missing or wrong")
		return
	}
	if mode == ServiceRefuse {
		refuse(w, http.StatusServiceUnavailable, "service refuses calls")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxServiceBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "read body: %v", err)
		return
	}
	if !sleepUntil(r.Context(), time.Now().Add(s.settings.Latency)) {
		return
	}
	answer := s.execute(r.URL.RequestURI(), r.Header.Get("Idempotency-Key"), body)
	if mode == ServiceCrash {
		panic(http.ErrAbortHandler)
	}
	if mode == ServiceSlow && !sleepUntil(r.Context(), time.Now().Add(s.settings.SlowTime)) {
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// arrive records the header and returns the mode for this call.
func (s *Service) arrive(auth string) ServiceMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.authSeen[auth]++
	mode := s.mode
	if s.left > 0 {
		s.left--
		if s.left == 0 {
			s.mode = ServiceNormal
		}
	}
	return mode
}

func (s *Service) execute(path, key string, body []byte) ServiceAnswer {
	sum := sha256.Sum256(body)
	echo := hex.EncodeToString(sum[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	id := path + "\x00" + key + "\x00" + echo
	i, ok := s.index[id]
	if !ok {
		i = len(s.executions)
		s.index[id] = i
		s.executions = append(s.executions, Execution{Path: path, Key: key, Body: body})
	}
	s.executions[i].Count++
	return ServiceAnswer{Execution: s.executions[i].Count, Echo: echo}
}
