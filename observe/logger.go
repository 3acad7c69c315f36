// Package observe provides a process's logs, metrics, health checks and state dump.
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
	// Level is debug, info or error; debug includes the messages at V(1).
	Level string
	// Format is json or console.
	Format string
	Output io.Writer
	// VM is added to every line if it is set.
	VM string
}

// NewLogger returns a logger on a zap sink. Each part of the process uses a logger
// with its own name (WithName), which every line carries under the key "part".
func NewLogger(config LoggerConfig) (logr.Logger, error) {
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return logr.Discard(), eris.Wrap(err, "parse the log level")
	}
	var encoder zapcore.Encoder
	switch config.Format {
	case "json":
		encoder = zapcore.NewJSONEncoder(encoderConfig())
	case "console":
		encoder = zapcore.NewConsoleEncoder(encoderConfig())
	default:
		return logr.Discard(), eris.Errorf("the log format %q is neither json nor console", config.Format)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(config.Output)), level)
	logger := zapr.NewLogger(zap.New(core))
	if config.VM != "" {
		logger = logger.WithValues("vm", config.VM)
	}
	return logger, nil
}

// encoderConfig sets the keys and the time format of a line.
func encoderConfig() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	config.NameKey = "part"
	return config
}
