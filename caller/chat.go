package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/gateway"
	"parsleyhatch/vmwire"
)

// headerRoute lets a caller name the route, so that its region is checked before the body is read.
const headerRoute = "X-Route"

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	req, chat, out := s.chatRequest(w, r)
	if out.Code != gateway.OK {
		writeError(w, idOf(req), out)
		return
	}
	if chat.Stream {
		s.streamChat(w, r, req)
		return
	}
	s.wholeChat(w, r, req)
}

func idOf(r *gateway.Request) string {
	if r == nil {
		return ""
	}
	return r.ID
}

// chatRequest reads and checks a request.
func (s *Server) chatRequest(w http.ResponseWriter, r *http.Request) (*gateway.Request, *gateway.Chat, gateway.Outcome) {
	if r.Method != http.MethodPost {
		return nil, nil, refusal(gateway.InvalidRequest, "method must be POST", 0)
	}
	a, out := s.admit(r)
	if out.Code != gateway.OK {
		return nil, nil, out
	}
	if out := s.checkNamedRoute(a, r); out.Code != gateway.OK {
		return nil, nil, out
	}
	body, out := readBody(w, r)
	if out.Code != gateway.OK {
		return nil, nil, out
	}
	chat, err := gateway.ParseChat(body)
	if err != nil {
		return nil, nil, refusal(gateway.InvalidRequest, err.Error(), 0)
	}
	route := a.snapshot.Models[chat.Model]
	if route == nil {
		return nil, nil, refusal(gateway.NotFound, "unknown model "+strconv.Quote(chat.Model), 0)
	}
	workspace, out := a.workspace(route)
	if out.Code != gateway.OK {
		return nil, nil, out
	}
	if out := s.stays(a, route, workspace); out.Code != gateway.OK {
		return nil, nil, out
	}
	req := s.newRequest(a, route, workspace)
	req.Body = body
	req.MaxTokens = chat.AnswerBound(route)
	req.PromptTokens = chat.PromptBound(route)
	req.Prefix = chat.Prefix(workspace.Name)
	req.ResumeFrom, err = resumeOffset(r)
	if err != nil {
		return req, nil, refusal(gateway.InvalidRequest, err.Error(), 0)
	}
	return req, chat, gateway.Outcome{}
}

// checkNamedRoute refuses a home-bound request in a wrong region before its body is read.
func (s *Server) checkNamedRoute(a admitted, r *http.Request) gateway.Outcome {
	name := r.Header.Get(headerRoute)
	if name == "" {
		return gateway.Outcome{}
	}
	route := a.snapshot.Routes[name]
	if route == nil {
		return refusal(gateway.NotFound, "unknown route "+strconv.Quote(name), 0)
	}
	workspace, out := a.workspace(route)
	if out.Code != gateway.OK {
		return out
	}
	return s.stays(a, route, workspace)
}

// streamChat answers with server-sent events.
func (s *Server) streamChat(w http.ResponseWriter, r *http.Request, req *gateway.Request) {
	control := http.NewResponseController(w)
	started := false
	buf := make([]byte, 0, 512)
	send := func() error {
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(buf); err != nil {
			return err
		}
		return control.Flush()
	}
	out := s.Gateway.Serve(r.Context(), req, func(_ context.Context, c *vmwire.Chunk) error {
		if !started {
			started = true
			startStream(w, req.ID, c)
		}
		buf = append(buf[:0], "id: "...)
		buf = append(buf, req.ID...)
		buf = append(buf, ':')
		buf = strconv.AppendInt(buf, c.End, 10)
		buf = append(buf, "\ndata: "...)
		buf = append(buf, c.Data...)
		buf = append(buf, "\n\n"...)
		return send()
	})
	switch {
	case !started && out.Code != gateway.OK:
		writeError(w, req.ID, out)
		return
	case out.Code == gateway.OK:
		buf = append(buf[:0], "data: [DONE]\n\n"...)
	default:
		buf = append(buf[:0], "event: error\ndata: "...)
		buf = append(buf, encodeError(req.ID, out)...)
		buf = append(buf, "\n\n"...)
	}
	_ = send()
}

func startStream(w http.ResponseWriter, requestID string, c *vmwire.Chunk) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Request-Id", requestID)
	copyHeader(h, c.Header)
	w.WriteHeader(http.StatusOK)
}

func copyHeader(h http.Header, from map[string]string) {
	for name, value := range from {
		h.Set(name, value)
	}
}

// completion is the JSON form of a whole answer.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int                 `json:"index"`
	Message      gateway.ChatMessage `json:"message"`
	FinishReason string              `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// engineChunk is the part of an engine's chunk that a whole answer needs.
type engineChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// wholeChat collects the stream and answers with one JSON document.
func (s *Server) wholeChat(w http.ResponseWriter, r *http.Request, req *gateway.Request) {
	var text strings.Builder
	var header map[string]string
	finish := "stop"
	out := s.Gateway.Serve(r.Context(), req, func(_ context.Context, c *vmwire.Chunk) error {
		if c.Header != nil {
			header = c.Header
		}
		var chunk engineChunk
		if err := json.Unmarshal(c.Data, &chunk); err != nil {
			return err
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
			if choice.FinishReason != "" {
				finish = choice.FinishReason
			}
		}
		return nil
	})
	if out.Code != gateway.OK {
		writeError(w, req.ID, out)
		return
	}
	answer := completion{ID: req.ID, Object: "chat.completion", Model: req.Route.Model}
	answer.Choices = []completionChoice{{
		Message:      gateway.ChatMessage{Role: "assistant", Content: text.String()},
		FinishReason: finish,
	}}
	answer.Usage = completionUsage{
		PromptTokens:     out.PromptTokens,
		CompletionTokens: out.AnswerTokens,
		TotalTokens:      out.PromptTokens + out.AnswerTokens,
	}
	copyHeader(w.Header(), header)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", req.ID)
	_ = json.NewEncoder(w).Encode(answer)
}
