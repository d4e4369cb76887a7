package logbuf

import (
	"sync"

	kratoslog "github.com/go-kratos/kratos/v2/log"
)

// QuietTransport keeps the lines of kratos' transport out of the output: the numbered events replace them.
var QuietTransport = sync.OnceFunc(func() {
	kratoslog.SetLogger(kratoslog.NewFilter(kratoslog.DefaultLogger, kratoslog.FilterLevel(kratoslog.LevelError)))
})
