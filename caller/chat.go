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

// routeHeader is the optional request header that names the route, so that the region can be checked before
// the body is read.
const routeHeader = "X-Route"

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	req, chat, out := s.parseChatRequest(w, r)
	if out.Code != gateway.OK {
		writeError(w, requestID(req), out)
		return
	}
	if chat.Stream {
		s.streamChat(w, r, req)
		return
	}
	s.bufferedChat(w, r, req)
}

func requestID(r *gateway.Request) string {
	if r == nil {
		return ""
	}
	return r.ID
}

// parseChatRequest reads and validates a chat completion request.
func (s *Server) parseChatRequest(w http.ResponseWriter, r *http.Request) (*gateway.Request, *gateway.Chat, gateway.Outcome) {
	if r.Method != http.MethodPost {
		return nil, nil, refusal(gateway.InvalidRequest, "method must be POST", 0)
	}
	a, out := s.admit(r)
	if out.Code != gateway.OK {
		return nil, nil, out
	}
	if out := s.checkRouteHeader(a, r); out.Code != gateway.OK {
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
	if out := s.checkHomeRegion(a, route, workspace); out.Code != gateway.OK {
		return nil, nil, out
	}
	req := s.newRequest(a, route, workspace)
	req.Body = body
	req.MaxTokens = chat.MaxAnswerTokens(route)
	req.PromptTokens = chat.MaxPromptTokens(route)
	req.PrefixKey = chat.PrefixKey(workspace.Name)
	req.ResumeFrom, err = resumeOffset(r)
	if err != nil {
		return req, nil, refusal(gateway.InvalidRequest, err.Error(), 0)
	}
	return req, chat, gateway.Outcome{}
}

// checkRouteHeader rejects a request that the X-Route header assigns to a home-bound route if the workspace's
// home region is another one. It runs before the body is read.
func (s *Server) checkRouteHeader(a admission, r *http.Request) gateway.Outcome {
	name := r.Header.Get(routeHeader)
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
	return s.checkHomeRegion(a, route, workspace)
}

// streamChat sends the response as server-sent events.
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
			writeStreamHeader(w, req.ID, c)
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

func writeStreamHeader(w http.ResponseWriter, requestID string, c *vmwire.Chunk) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Request-Id", requestID)
	copyHeader(h, c.Header)
	w.WriteHeader(http.StatusOK)
}

func copyHeader(h http.Header, values map[string]string) {
	for name, value := range values {
		h.Set(name, value)
	}
}

// completion is the JSON body of a non-streaming response.
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

// engineChunk holds the fields of an engine's chunk that a non-streaming response uses.
type engineChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// bufferedChat collects the chunks of the stream and sends them as one JSON document.
func (s *Server) bufferedChat(w http.ResponseWriter, r *http.Request, req *gateway.Request) {
	var content strings.Builder
	var header map[string]string
	finishReason := "stop"
	out := s.Gateway.Serve(r.Context(), req, func(_ context.Context, c *vmwire.Chunk) error {
		if c.Header != nil {
			header = c.Header
		}
		var chunk engineChunk
		if err := json.Unmarshal(c.Data, &chunk); err != nil {
			return err
		}
		for _, choice := range chunk.Choices {
			content.WriteString(choice.Delta.Content)
			if choice.FinishReason != "" {
				finishReason = choice.FinishReason
			}
		}
		return nil
	})
	if out.Code != gateway.OK {
		writeError(w, req.ID, out)
		return
	}
	response := completion{ID: req.ID, Object: "chat.completion", Model: req.Route.Model}
	response.Choices = []completionChoice{{
		Message:      gateway.ChatMessage{Role: "assistant", Content: content.String()},
		FinishReason: finishReason,
	}}
	response.Usage = completionUsage{
		PromptTokens:     out.PromptTokens,
		CompletionTokens: out.AnswerTokens,
		TotalTokens:      out.PromptTokens + out.AnswerTokens,
	}
	copyHeader(w.Header(), header)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", req.ID)
	_ = json.NewEncoder(w).Encode(response)
}
