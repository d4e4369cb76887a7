package replica

import (
	"fmt"
	"strconv"
	"strings"
)

// Part is a section of a prompt that several requests may share.
type Part struct {
	ID     uint64
	Tokens int64
}

// Prompt describes the prompt of a request and the length of its answer.
type Prompt struct {
	Parts []Part
	// Tokens is the length of the prompt, and MaxAnswerTokens the largest number of answer tokens. Both are
	// zero for plain services.
	Tokens          int64
	MaxAnswerTokens int64
}

// ParsePrompt parses a comma-separated list of parts in the form ID:TOKENS, and the token counts of prompt
// and answer, separated by a comma. Both may be empty.
func ParsePrompt(parts, tokens string) (Prompt, error) {
	var p Prompt
	if parts != "" {
		for item := range strings.SplitSeq(parts, ",") {
			part, err := parsePart(strings.TrimSpace(item))
			if err != nil {
				return Prompt{}, err
			}
			p.Parts = append(p.Parts, part)
			p.Tokens += part.Tokens
		}
	}
	if p.Tokens > maxTokens {
		return Prompt{}, errTooManyTokens
	}
	if tokens == "" {
		return p, nil
	}
	prompt, answer, _ := strings.Cut(tokens, ",")
	var err error
	if p.Tokens, err = strconv.ParseInt(strings.TrimSpace(prompt), 10, 64); err != nil || p.Tokens < 0 {
		return Prompt{}, fmt.Errorf("number of prompt tokens %q is not a whole number", prompt)
	}
	if p.MaxAnswerTokens, err = strconv.ParseInt(strings.TrimSpace(answer), 10, 64); err != nil || p.MaxAnswerTokens < 0 {
		return Prompt{}, fmt.Errorf("number of answer tokens %q is not a whole number", answer)
	}
	if p.Tokens > maxTokens || p.MaxAnswerTokens > maxTokens {
		return Prompt{}, errTooManyTokens
	}
	return p, nil
}

// maxTokens bounds the tokens of a prompt and of an answer, far above the memory of an engine. Callers state these numbers, and sums of them
// must not overflow.
const maxTokens = 1 << 24

var errTooManyTokens = fmt.Errorf("more than %d tokens", maxTokens)

func parsePart(item string) (Part, error) {
	id, tokens, ok := strings.Cut(item, ":")
	if !ok {
		return Part{}, fmt.Errorf("prompt part %q is not ID:TOKENS", item)
	}
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return Part{}, fmt.Errorf("prompt part %q: id is not hexadecimal", item)
	}
	count, err := strconv.ParseInt(tokens, 10, 64)
	if err != nil || count < 0 || count > maxTokens {
		return Part{}, fmt.Errorf("prompt part %q: tokens are not a whole number", item)
	}
	return Part{ID: n, Tokens: count}, nil
}

// TotalTokens returns the number of tokens that are charged for the request.
func (p Prompt) TotalTokens() int64 { return p.Tokens + p.MaxAnswerTokens }

// SharedTokens returns the number of tokens before the last part, which is specific to the request or its
// session.
func (p Prompt) SharedTokens() int64 {
	var n int64
	for i := 0; i+1 < len(p.Parts); i++ {
		n += p.Parts[i].Tokens
	}
	return n
}

// AffinityPart returns the part by which requests with the same beginning are sent to one upstream: the first
// part that is rare enough for one upstream, otherwise the last shared part. It returns false if the prompt
// has no parts.
func (p Prompt) AffinityPart(tooPopular func(id uint64) bool) (uint64, bool) {
	if len(p.Parts) == 0 {
		return 0, false
	}
	last := max(0, len(p.Parts)-2)
	for i := range last {
		if !tooPopular(p.Parts[i].ID) {
			return p.Parts[i].ID, true
		}
	}
	return p.Parts[last].ID, true
}
