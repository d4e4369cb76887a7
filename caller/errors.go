package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"parsleyhatch/gateway"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Ran          string `json:"ran"`
	RetryAfterMS int64  `json:"retryAfterMs"`
	RequestID    string `json:"requestId"`
	// VMs lists the VMs to retry at, in order of preference.
	VMs []directoryVM `json:"vms,omitempty"`
}

func encodeError(requestID string, o gateway.Outcome) []byte {
	data, err := json.Marshal(errorBody{Error: errorDetail{
		Code:         string(o.Code),
		Message:      o.Message,
		Ran:          string(o.Ran),
		RetryAfterMS: o.RetryAfter.Milliseconds(),
		RequestID:    requestID,
		VMs:          newDirectoryVMs(o.Alternatives),
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal","ran":"unknown"}}`)
	}
	return data
}

// writeError writes an error response. The status line must not have been written yet. A caller that has
// closed the connection gets no response.
func writeError(w http.ResponseWriter, requestID string, o gateway.Outcome) {
	if o.Code == gateway.CallerGone {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if requestID != "" {
		w.Header().Set("X-Request-Id", requestID)
	}
	if o.RetryAfter > 0 {
		seconds := int64((o.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(o.Status())
	_, _ = w.Write(encodeError(requestID, o))
	_, _ = w.Write([]byte{'\n'})
}
