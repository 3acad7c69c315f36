// Package observe holds what operators see of a process: logs, metrics,
// readiness and the state dump.
package observe

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// LoggerConfig configures a logger.
type LoggerConfig struct {
	// Level is debug, info or error; debug shows V(1) and above.
	Level string
	// Format is json or console.
	Format string
	Output io.Writer
	// VM appears in every line if it is set.
	VM string
}

// NewLogger returns a logger on a zap sink. Parts name themselves with WithName,
// so that each line carries the fixed prefix of its part.
func NewLogger(config LoggerConfig) (logr.Logger, error) {
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return logr.Discard(), eris.Wrap(err, "the log level")
	}
	var encoder zapcore.Encoder
	switch config.Format {
	case "json":
		encoder = zapcore.NewJSONEncoder(encoding())
	case "console":
		encoder = zapcore.NewConsoleEncoder(encoding())
	default:
		return logr.Discard(), eris.Errorf("the log format %q is not json or console", config.Format)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(config.Output)), level)
	logger := zapr.NewLogger(zap.New(core))
	if config.VM != "" {
		logger = logger.WithValues("vm", config.VM)
	}
	return logger, nil
}

// encoding names the fixed fields of a line.
func encoding() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	config.NameKey = "part"
	return config
}
