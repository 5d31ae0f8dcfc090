// Package keys loads certificates and secret keys from files. Certificates are reloaded when their
// files change, so that they can be rotated without a restart; secret keys and authorities are not.
package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = 5 * time.Second

// Certificate is a certificate and its key in PEM files. It is safe for concurrent use.
type Certificate struct {
	certificateFile, keyFile string

	mutex      sync.Mutex
	loaded     *tls.Certificate
	modifiedAt time.Time
	checkedAt  time.Time
}

// LoadCertificate reads the files. The error is of kind InvalidSettings.
func LoadCertificate(certificateFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certificateFile: certificateFile, keyFile: keyFile}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Certificate) load() error {
	loaded, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return errkind.New(errkind.InvalidSettings, "load certificate %s: %v", c.certificateFile, err)
	}
	c.loaded = &loaded
	c.modifiedAt = c.latestModTime()
	return nil
}

func (c *Certificate) latestModTime() time.Time {
	latest := time.Time{}
	for _, name := range []string{c.certificateFile, c.keyFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// Current returns the certificate, reloaded if its files changed. If the new files are invalid,
// such as when half written, it returns the last valid certificate.
func (c *Certificate) Current() *tls.Certificate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if time.Since(c.checkedAt) >= checkInterval {
		c.checkedAt = time.Now()
		if !c.latestModTime().Equal(c.modifiedAt) {
			_ = c.load() // retried at the next check
		}
	}
	return c.loaded
}

// ServerConfig returns a configuration for listeners. With a pool of authorities, clients must have
// a certificate of one of them; nil accepts any client.
func (c *Certificate) ServerConfig(clients *x509.CertPool) *tls.Config {
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.Current(), nil },
	}
	if clients != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = clients
	}
	return config
}

// MutualConfig returns a configuration for both sides of connections between nodes, all of which
// have certificates of the authorities.
func (c *Certificate) MutualConfig(authorities *x509.CertPool) *tls.Config {
	config := c.ServerConfig(authorities)
	config.RootCAs = authorities
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.Current(), nil }
	return config
}

// LoadAuthorities reads the certificates of authorities from a PEM file. The error is of kind
// InvalidSettings.
func LoadAuthorities(file string) (*x509.CertPool, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "load certificate authorities: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, errkind.New(errkind.InvalidSettings, "load certificate authorities: %s has no certificate in PEM form", file)
	}
	return pool, nil
}

// LoadSecrets reads secret keys, one per line, the newest first. The error is of kind
// InvalidSettings.
func LoadSecrets(file string) ([][]byte, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errkind.New(errkind.InvalidSettings, "load secret keys: %v", err)
	}
	var secrets [][]byte
	for _, line := range bytes.Split(content, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) > 0 {
			secrets = append(secrets, line)
		}
	}
	if len(secrets) == 0 {
		return nil, errkind.New(errkind.InvalidSettings, "load secret keys: %s has no key", file)
	}
	return secrets, nil
}
