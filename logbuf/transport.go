package logbuf

import (
	"sync"

	kratoslog "github.com/go-kratos/kratos/v2/log"
)

// SuppressTransportLogs suppresses log lines of the kratos transport below level error, since the numbered events
// replace them.
var SuppressTransportLogs = sync.OnceFunc(func() {
	kratoslog.SetLogger(kratoslog.NewFilter(kratoslog.DefaultLogger, kratoslog.FilterLevel(kratoslog.LevelError)))
})
