"""The explorer: plays every order of events, within stated bounds, on the router's own code.

`scope` states the bounds, `world` and `peers` are what the router is put into, `properties` what must hold,
`fingerprint` and `visited` tell states apart, `copying` goes back to one, `search` and `walk` choose the
order, `trace` and `chart` tell of what was found, `seeds` breaks the code on purpose, `codecs` and `channels`
are the two smaller machines, `reach` tells which lines were played.
"""
