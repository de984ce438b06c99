package account_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/account"
	"lovagelane/kernel"
)

func credentials(name string, keys ...string) account.Credentials {
	return account.Credentials{Account: account.Account{Name: name}, Keys: keys}
}

// Guards against a key that identifies another account, and against an empty or withdrawn key that identifies one.
func TestKeysIdentifyTheirAccount(t *testing.T) {
	first, err := account.NewSet([]account.Credentials{
		{Account: account.Account{Name: "truro", Rank: kernel.Some(1), Quota: account.Quota{Rate: 5, Burst: 2}}, Keys: []string{"k1", "k2"}},
		credentials("bodmin", "k3"),
		credentials("withdrawn"),
	})
	require.NoError(t, err)
	for key, want := range map[string]string{"k1": "truro", "k2": "truro", "k3": "bodmin", "k4": "", "": "", "k": ""} {
		a, ok := first.ByKey(key)
		require.Equal(t, want != "", ok, key)
		require.Equal(t, want, a.Name, key)
	}
	truro, ok := first.ByName("truro")
	require.True(t, ok)
	require.True(t, truro.Quota.Limited())
	require.Equal(t, 3, first.Len())
	require.Equal(t, []string{"bodmin", "truro", "withdrawn"}, []string{first.All()[0].Name, first.All()[1].Name, first.All()[2].Name})

	// A key that moves to another account in a later version identifies only that one.
	second, err := account.NewSet([]account.Credentials{credentials("truro", "k2"), credentials("bodmin", "k1")})
	require.NoError(t, err)
	moved, _ := second.ByKey("k1")
	require.Equal(t, "bodmin", moved.Name)
	_, known := second.ByKey("k3")
	require.False(t, known)
	_, known = (account.Set{}).ByKey("")
	require.False(t, known)
}

// Guards against a configuration in which a request could belong to two accounts, and against an error that shows a key.
func TestNewSetRejectsAmbiguousAccounts(t *testing.T) {
	for name, list := range map[string][]account.Credentials{
		"no name":       {credentials("", "k1")},
		"line break":    {credentials("a\nb", "k1")},
		"listed twice":  {credentials("truro", "k1"), credentials("truro", "k2")},
		"shared key":    {credentials("truro", "secret-key"), credentials("bodmin", "secret-key")},
		"empty key":     {credentials("truro", "")},
		"negative rank": {{Account: account.Account{Name: "truro", Rank: kernel.Some(-1)}, Keys: []string{"k1"}}},
		"negative rate": {{Account: account.Account{Name: "truro", Quota: account.Quota{Rate: -1}},
			Keys: []string{"k1"}}},
	} {
		_, err := account.NewSet(list)
		require.Error(t, err, name)
		require.NotContains(t, err.Error(), "secret-key", name)
	}
	_, err := account.NewSet([]account.Credentials{credentials("truro", "k1", "k1")})
	require.NoError(t, err)
}
