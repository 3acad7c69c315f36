package settings

import (
	"crypto/tls"
	"fmt"
	"path/filepath"

	"amaranthdock.dev/settings/strictyaml"
)

// Loaded contains the settings and the content of the files that they name. The TLS
// fields are nil if TLS is not used. Only the settings appear in logs and dumps.
type Loaded struct {
	Settings *Settings `json:"settings"`
	// SessionKeys verify session tokens; the first one signs new ones.
	SessionKeys []Secret    `json:"-"`
	CallerTLS   *tls.Config `json:"-"`
	OperatorTLS *tls.Config `json:"-"`
	// PeerServerTLS and PeerClientTLS use mutual TLS.
	PeerServerTLS *tls.Config `json:"-"`
	PeerClientTLS *tls.Config `json:"-"`
}

// Dump returns the settings, which contain file names but no secrets.
func (l *Loaded) Dump() any { return l.Settings }

// Format writes only the settings, because a TLS configuration contains a private
// key.
func (l Loaded) Format(state fmt.State, _ rune) {
	_, _ = fmt.Fprintf(state, "%+v", l.Settings)
}

type loader struct {
	directory string
	positions *strictyaml.Positions
	errors    strictyaml.Errors
}

func (l *loader) load(settings *Settings) *Loaded {
	loaded := &Loaded{Settings: settings}
	keys, err := ReadSessionKeys(l.resolve(settings.SessionKeyFile))
	l.addError("sessionKeyFile", err)
	loaded.SessionKeys = keys
	if files := l.resolveTLS(settings.CallerTLS); files != nil {
		loaded.CallerTLS, err = files.Server()
		l.addError("callerTls", err)
	}
	if files := l.resolveTLS(settings.OperatorTLS); files != nil {
		loaded.OperatorTLS, err = files.Server()
		l.addError("operatorTls", err)
	}
	if files := l.resolveTLS(settings.PeerTLS); files != nil {
		loaded.PeerServerTLS, err = files.Server()
		l.addError("peerTls", err)
		if err == nil {
			loaded.PeerClientTLS, err = files.Client()
			l.addError("peerTls", err)
		}
	}
	return loaded
}

func (l *loader) addError(field string, err error) {
	if err != nil {
		l.errors = append(l.errors, l.positions.ErrorAt(field, err.Error()))
	}
}

func (l *loader) resolve(file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(l.directory, file)
}

func (l *loader) resolveTLS(files *TLSFiles) *TLSFiles {
	if files == nil {
		return nil
	}
	return &TLSFiles{
		CertificateFile: l.resolve(files.CertificateFile),
		KeyFile:         l.resolve(files.KeyFile),
		CAFile:          l.resolve(files.CAFile),
	}
}
