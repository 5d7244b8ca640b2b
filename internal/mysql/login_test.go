package mysql

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// validLogin is the payload of a valid login that names a database.
const validLogin = "\x08\x82\x08\x00\x00\x00\x00\x01\x2d" +
	"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00" +
	"app\x00\x00bi\x00mysql_native_password\x00"

func TestParseLogin(t *testing.T) {
	l, err := parseLogin([]byte(validLogin))
	require.NoError(t, err)
	assert.Equal(t, []string{"app", "", "bi"}, []string{string(l.user), string(l.auth), string(l.database)})
	l, err = parseLogin([]byte(validLogin[:36] + "\x04abcdbi"))
	require.NoError(t, err)
	assert.Equal(t, []string{"abcd", "bi"}, []string{string(l.auth), string(l.database)})
	for name, in := range map[string]string{
		"empty": "", "short": validLogin[:20], "user name without NUL": validLogin[:34],
		"truncated password": validLogin[:36] + "\x14abc",
		"old protocol":       "\x08\x80\x08\x00" + validLogin[4:], "encryption": "\x08\x8a\x08\x00" + validLogin[4:],
	} {
		_, err := parseLogin([]byte(in))
		assert.Error(t, err, name)
	}
}

func FuzzParseLogin(f *testing.F) {
	f.Add([]byte(validLogin))
	f.Fuzz(func(t *testing.T, in []byte) {
		l, err := parseLogin(in)
		if err == nil {
			require.LessOrEqual(t, len(l.user)+len(l.auth)+len(l.database), len(in))
		}
	})
}
