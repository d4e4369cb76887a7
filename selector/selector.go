// Package selector parses and evaluates label selectors.
package selector

import (
	"fmt"
	"slices"
	"strings"
)

// Operator is the comparison that a requirement applies to a label.
type Operator string

// Operators of a requirement.
const (
	Equals    Operator = "="
	NotEquals Operator = "!="
	In        Operator = "in"
	NotIn     Operator = "notin"
	Exists    Operator = "exists"
	NotExists Operator = "!"
)

// Requirement is one condition on one label.
type Requirement struct {
	Key      string
	Operator Operator
	// Values has one entry for Equals and NotEquals, one or more for In and NotIn, none otherwise.
	Values []string
}

// Selector is a conjunction of requirements. The empty selector matches everything.
type Selector []Requirement

// Parse parses a selector such as "model=redator,tier in (a, b),!canary".
func Parse(text string) (Selector, error) {
	var sel Selector
	for _, term := range splitTerms(text) {
		term = strings.TrimSpace(term)
		if term == "" {
			if strings.TrimSpace(text) == "" {
				continue
			}
			return nil, fmt.Errorf("selector %q: empty requirement", text)
		}
		req, err := parseTerm(term)
		if err != nil {
			return nil, fmt.Errorf("selector %q: %w", text, err)
		}
		sel = append(sel, req)
	}
	return sel, nil
}

// Matches reports whether the labels meet every requirement.
// As in Kubernetes label selectors, != and notin also match if the label is missing.
func (s Selector) Matches(labels map[string]string) bool {
	for _, r := range s {
		if !r.matches(labels) {
			return false
		}
	}
	return true
}

func (r Requirement) matches(labels map[string]string) bool {
	value, ok := labels[r.Key]
	switch r.Operator {
	case Equals, In:
		return ok && slices.Contains(r.Values, value)
	case NotEquals, NotIn:
		return !ok || !slices.Contains(r.Values, value)
	case Exists:
		return ok
	default:
		return !ok
	}
}

// splitTerms splits a selector at the commas outside parentheses.
func splitTerms(text string) []string {
	var terms []string
	depth, start := 0, 0
	for i, c := range text {
		switch c {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 0 {
				terms = append(terms, text[start:i])
				start = i + 1
			}
		}
	}
	return append(terms, text[start:])
}

// parseTerm parses one requirement.
func parseTerm(term string) (Requirement, error) {
	if strings.Contains(term, "(") {
		return parseSet(term)
	}
	if key, value, ok := strings.Cut(term, "!="); ok {
		return valueRequirement(key, NotEquals, value)
	}
	if key, value, ok := strings.Cut(term, "="); ok {
		return valueRequirement(key, Equals, strings.TrimPrefix(value, "="))
	}
	if absentKey, ok := strings.CutPrefix(term, "!"); ok {
		return keyRequirement(absentKey, NotExists)
	}
	return keyRequirement(term, Exists)
}

// parseSet parses a requirement with a list of values in parentheses.
func parseSet(term string) (Requirement, error) {
	keyAndOperator, valueList, _ := strings.Cut(term, "(")
	valueList, ok := strings.CutSuffix(strings.TrimSpace(valueList), ")")
	if !ok {
		return Requirement{}, fmt.Errorf("requirement %q: missing closing parenthesis", term)
	}
	fields := strings.Fields(keyAndOperator)
	if len(fields) != 2 || (fields[1] != string(In) && fields[1] != string(NotIn)) {
		return Requirement{}, fmt.Errorf("requirement %q: want KEY in (A, B) or KEY notin (A, B)", term)
	}
	var values []string
	for _, v := range strings.Split(valueList, ",") {
		v = strings.TrimSpace(v)
		if err := ValidateLabelText("value", v); err != nil {
			return Requirement{}, err
		}
		values = append(values, v)
	}
	if err := ValidateLabelText("key", fields[0]); err != nil {
		return Requirement{}, err
	}
	return Requirement{Key: fields[0], Operator: Operator(fields[1]), Values: values}, nil
}

func valueRequirement(key string, op Operator, value string) (Requirement, error) {
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if err := ValidateLabelText("key", key); err != nil {
		return Requirement{}, err
	}
	if err := ValidateLabelText("value", value); err != nil {
		return Requirement{}, err
	}
	return Requirement{Key: key, Operator: op, Values: []string{value}}, nil
}

func keyRequirement(key string, op Operator) (Requirement, error) {
	key = strings.TrimSpace(key)
	if err := ValidateLabelText("key", key); err != nil {
		return Requirement{}, err
	}
	return Requirement{Key: key, Operator: op}, nil
}

// ValidateLabelText returns an error unless word, a label key or value, consists of letters, digits
// and "-_./". The error names its role, which is "key" or "value".
func ValidateLabelText(role, word string) error {
	if word == "" {
		return fmt.Errorf("empty %s", role)
	}
	for _, c := range word {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune("-_./", c) {
			return fmt.Errorf("%s %q: character %q is not allowed", role, word, c)
		}
	}
	return nil
}
