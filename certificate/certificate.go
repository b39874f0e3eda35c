// Package certificate loads TLS certificates from files and takes over
// replacements without a restart.
//
// # Usage
//
//	files, err := certificate.Load(ctx, "node.pem", "node.key", "authorities.pem")
//	listener = tls.NewListener(listener, files.ServerConfig()) // for callers
//	options.TLS = files.MutualConfig()                         // between nodes
//
// The files are read every few seconds. A replacement that can't be used is
// logged as an error, and the former one stays in use.
package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// lookPeriod is the time between two looks at the files.
const lookPeriod = 5 * time.Second

type (
	// Reloader is a certificate with its key, and the authorities whose
	// certificates are accepted from others.
	Reloader struct {
		certificateFile, keyFile, authoritiesFile string
		current                                   atomic.Pointer[loaded]
	}

	// loaded is the content of the files at one time.
	loaded struct {
		texts       [3][]byte // of the certificate, the key and the authorities
		certificate tls.Certificate
		authorities *x509.CertPool
	}
)

// Load reads the files, and reads them again whenever they change until ctx
// ends. The file of authorities may be empty.
func Load(ctx context.Context, certificateFile, keyFile, authoritiesFile string) (files *Reloader, err error) {
	files = &Reloader{certificateFile: certificateFile, keyFile: keyFile, authoritiesFile: authoritiesFile}
	if err = files.Reload(); err != nil {
		return nil, err
	}
	go func() {
		ticker := time.NewTicker(lookPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if err := files.Reload(); err != nil {
					slog.Error("certificate not replaced", "File", certificateFile, "Error", err)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return files, nil
}

// Reload reads the files, and takes them over if any of them has changed. It
// compares contents, since tools that copy files may keep their times.
func (f *Reloader) Reload() (err error) {
	defer errors.DeferredAnnotatef(&err, "load certificate %s", f.certificateFile)
	next := &loaded{}
	for i, file := range []string{f.certificateFile, f.keyFile, f.authoritiesFile} {
		if file == "" {
			continue
		}
		if next.texts[i], err = os.ReadFile(file); err != nil {
			return err
		}
	}
	if current := f.current.Load(); current != nil && current.equal(next) {
		return nil
	}
	if next.certificate, err = tls.X509KeyPair(next.texts[0], next.texts[1]); err != nil {
		return err
	}
	if f.authoritiesFile != "" {
		next.authorities = x509.NewCertPool()
		if !next.authorities.AppendCertsFromPEM(next.texts[2]) {
			return errors.Errorf("%s holds no certificate in PEM", f.authoritiesFile)
		}
	}
	f.current.Store(next)
	return nil
}

func (l *loaded) equal(other *loaded) bool {
	for i := range l.texts {
		if !bytes.Equal(l.texts[i], other.texts[i]) {
			return false
		}
	}
	return true
}

// ServerConfig is for a listener whose clients need no certificate.
func (f *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: f.server}
}

// MutualConfig is for both ends of connections between nodes. Each end accepts
// any certificate of the authorities: nodes are known by IP address and change
// all the time, so there is no host name to compare.
func (f *Reloader) MutualConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAnyClientCert,
		GetCertificate: f.server,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (certificate *tls.Certificate, err error) {
			return &f.current.Load().certificate, nil
		},
		// VerifyConnection takes the place of the default verification, which
		// reads its authorities once and compares host names.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verify,
	}
}

func (f *Reloader) server(*tls.ClientHelloInfo) (certificate *tls.Certificate, err error) {
	return &f.current.Load().certificate, nil
}

func (f *Reloader) verify(state tls.ConnectionState) (err error) {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots: f.current.Load().authorities, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	if options.Roots == nil {
		return errors.New("no authorities are configured for peers")
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return err
}
